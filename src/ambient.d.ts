declare module "postject" {
  /** Injects a resource into a copy of the Node.js binary. */
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: { readonly sentinelFuse: string },
  ): Promise<void>;
}

// The package's main file needs a module that it does not declare, so `paths` in tsconfig.json
// leads to its ES modules, which have no types of their own.
declare module "ts-results" {
  export * from "ts-results/result";
  export * from "ts-results/option";
}

/** Text of `examples/piedra-viva.ini`; only defined in the built executable. */
declare const BUNDLED_TEMPLATE: string | undefined;
