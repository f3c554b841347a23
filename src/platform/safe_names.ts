/**
 * Names that operators choose and that may be of any length and characters, in
 * the forms that routers and headers can carry.
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { isTextWithin, type TextLimit, TEXTS } from "./field_limits.ts";

/** Marks the forms of other names; the begin of a name that needs no other. */
const UTF8_MARK = "UTF-8''";
const DIGEST_MARK = "SHA-256''";
/** Characters that a header field can't carry, or loses at its ends. */
// deno-lint-ignore no-control-regex
const NOT_CARRIED = /[\u0000-\u001f\u007f]|^ | $/;

function isMarked(text: string): boolean {
  return text.startsWith(UTF8_MARK) || text.startsWith(DIGEST_MARK);
}

/** Whether a name has no unpaired surrogates, which have no form in UTF-8. */
function isWellFormed(name: string): boolean {
  return Buffer.from(name, "utf8").toString("utf8") === name;
}

/**
 * Encodes a name that is well-formed as RFC 8187 does values of header
 * parameters.
 */
function percentEncode(name: string): string {
  return UTF8_MARK + encodeURIComponent(name);
}

function digest(name: string): string {
  const bytes = Buffer.from(name, "utf16le");
  return DIGEST_MARK + createHash("sha256").update(bytes).digest("hex");
}

/**
 * Returns the form of a name that routers use between themselves, in logs, in
 * metrics and as part of keys: the name itself within `limit`, else it
 * percent-encoded, or a digest of one that is longer or has no UTF-8 form. The
 * same name always has the same form, and the form of a form is itself.
 */
export function toSafeName(name: string, limit: TextLimit): string {
  const isForm = isMarked(name) && isTextWithin(name, TEXTS.headerName);
  if (isForm || isTextWithin(name, limit)) return name;
  if (!isWellFormed(name)) return digest(name);
  const encoded = percentEncode(name);
  return encoded.length <= limit.maxLength ? encoded : digest(name);
}

/**
 * Returns the value of a header field for a name, in Latin-1 characters that
 * stand for its bytes. Letters beyond Latin-1 are sent in UTF-8; a name with
 * characters that no field can carry is percent-encoded. A digest replaces one
 * that exceeds 4,096 bytes, which leaves half of the usual 8 KiB of a head to the
 * other headers.
 */
export function toHeaderValue(name: string): string {
  if (!isWellFormed(name)) return digest(name);
  const isLatin1 = Buffer.from(name, "latin1").toString("latin1") === name;
  const value = NOT_CARRIED.test(name)
    ? percentEncode(name)
    : isLatin1
    ? name
    : Buffer.from(name, "utf8").toString("latin1");
  return isTextWithin(value, TEXTS.headerValue) ? value : digest(name);
}
