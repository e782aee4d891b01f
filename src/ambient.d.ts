declare module "postject" {
  /** Injects a resource into a copy of the Node.js binary. */
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: { readonly sentinelFuse: string },
  ): Promise<void>;
}
