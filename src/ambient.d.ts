declare module "postject" {
  /** Injects a resource into a copy of the Node.js binary. */
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: { readonly sentinelFuse: string },
  ): Promise<void>;
}

// The main file of ts-results requires a package that is not among its dependencies, so `paths` in
// tsconfig.json points to its ES modules, which have no type declarations.
declare module "ts-results" {
  export * from "ts-results/result";
  export * from "ts-results/option";
}

/** Content of `examples/piedra-viva.ini`; defined only in the bundled program. */
declare const BUNDLED_TEMPLATE: string | undefined;
