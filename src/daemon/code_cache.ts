/** Tells whether this process runs with the V8 code cache of its bundle. */

/** Set by deploy/loader.cjs. */
const CODE_CACHE = Symbol.for("corianderflow.codeCache");

/**
 * Returns "used", or why the code cache of the bundle is not used, or undefined
 * if the process does not run from a bundle.
 */
export function getCodeCacheState(): string | undefined {
  return (globalThis as { [CODE_CACHE]?: string })[CODE_CACHE];
}
