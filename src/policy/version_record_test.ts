/** Tests of the versions of a service as the store keeps them. */
import type { VersionRecord } from "../routing/types.ts";
import { updateVersionRecord } from "./version_record.ts";

const EMPTY: VersionRecord = { service: "engine", versions: [] };

function update(record: VersionRecord, present: string[], wall: number) {
  return updateVersionRecord(record, { present: new Set(present), wall });
}

// Pattern: a release of the software, during which routers may end.
test("a version is written when it comes and when it is gone", () => {
  const first = update(EMPTY, ["v1"], 100)!;
  expect(first.versions).toEqual([{ version: "v1", goneAt: undefined }]);
  expect(update(first, ["v1"], 200)).toBeUndefined();
  const both = update(first, ["v1", "v2"], 300)!;
  const second = update(both, ["v2"], 400)!;
  expect(second.versions).toEqual([
    { version: "v1", goneAt: 400 },
    { version: "v2", goneAt: undefined },
  ]);
  expect(update(second, ["v2"], 500)).toBeUndefined();
});

test("a version that is back is present again", () => {
  const record = {
    service: "engine",
    versions: [{ version: "v1", goneAt: 400 }],
  };
  expect(update(record, ["v1"], 500)!.versions)
    .toEqual([{ version: "v1", goneAt: undefined }]);
});

// Guards against a record that grows with each release.
test("versions that are gone for long are dropped", () => {
  const record = {
    service: "engine",
    versions: [{ version: "v1", goneAt: 0 }],
  };
  expect(update(record, ["v2"], 900_000)!.versions)
    .toEqual([{ version: "v2", goneAt: undefined }]);
});
