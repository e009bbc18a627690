/**
 * Declares the function of postject that is used here; the package has no
 * types.
 */
declare module "postject" {
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: { sentinelFuse: string },
  ): Promise<void>;
}
