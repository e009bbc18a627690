/** What this project uses of postject, which has no types of its own. */
declare module "postject" {
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: { sentinelFuse: string },
  ): Promise<void>;
}
