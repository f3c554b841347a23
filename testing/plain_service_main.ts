/** Entry point of the stand-in plain service's process. */
import { PlainService } from "./plain_service.ts";
import { CommandLine, serve, UPSTREAM_OPTIONS } from "./upstream_settings.ts";

const commandLine = new CommandLine({
  ...UPSTREAM_OPTIONS,
  "service-ms": { type: "string", default: "5" },
});

const service = new PlainService({
  ...commandLine.getUpstreamOptions(),
  serviceMs: commandLine.getNumber("service-ms"),
});

void serve(service, commandLine.getNumber("port"));
