/// spindleweir-standin: an engine, a plain service or the platform's list of
/// VMs, for development and tests.
#include <gflags/gflags.h>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/file_tools.h"
#include "standins/engine_standin.h"
#include "standins/platform_standin.h"
#include "standins/service_standin.h"

DEFINE_string(kind, "", "engine, service or platform");
DEFINE_string(vm, "", "name of the VM");
DEFINE_string(zone, "", "availability zone");
DEFINE_string(listen, "127.0.0.1:0", "IP:PORT");
DEFINE_string(port_file, "", "file to write the bound address to");
DEFINE_string(record, "", "file to write records to");
DEFINE_string(accelerator, "a100", "engine: kind of accelerator");
DEFINE_int32(memory_layers, 8, "engine: layers that fit into memory");
DEFINE_double(layer_us, 1000, "engine: microseconds per layer and step");
DEFINE_int32(batch, 8, "engine: tokens per step");
DEFINE_int32(load_ms, 200, "engine: milliseconds to load layers");
DEFINE_bool(checks_fence, true, "engine: refuse orders of an old epoch");
DEFINE_int32(delay_ms, 5, "service: milliseconds from run to answer");
DEFINE_string(file, "", "platform: the list to serve");
DEFINE_int32(lag_ms, 0, "platform: age of the served list, milliseconds");

namespace spindleweir {
namespace {

void WritePort(const Endpoint& aAddress) {
  if (!FLAGS_port_file.empty()) {
    Json::Value ports(Json::objectValue);
    ports["listen"] = aAddress.Text();
    ReplaceFile(FLAGS_port_file, DumpJson(ports));
  }
}

template <class Standin, class Options>
int Serve(const Options& aOptions) {
  EventLoop loop;
  Standin standin(loop, aOptions);
  WritePort(standin.Address());
  const auto signal = loop.OnStopSignal([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

int Run(const std::vector<std::string>&) {
  const Endpoint listen = ParseEndpoint(FLAGS_listen, "--listen");
  if (FLAGS_kind == "engine") {
    return Serve<EngineStandin>(
        EngineStandinOptions{.mVm = FLAGS_vm,
                             .mZone = FLAGS_zone,
                             .mAccelerator = FLAGS_accelerator,
                             .mListen = listen,
                             .mMemoryLayers = FLAGS_memory_layers,
                             .mLayerMicros = FLAGS_layer_us,
                             .mBatch = FLAGS_batch,
                             .mLoadMillis = FLAGS_load_ms,
                             .mChecksFence = FLAGS_checks_fence,
                             .mRecord = FLAGS_record});
  }
  if (FLAGS_kind == "service") {
    return Serve<ServiceStandin>(
        ServiceStandinOptions{.mVm = FLAGS_vm,
                              .mListen = listen,
                              .mDelay = FLAGS_delay_ms,
                              .mRecord = FLAGS_record});
  }
  if (FLAGS_kind == "platform") {
    return Serve<PlatformStandin>(PlatformStandinOptions{
        .mListen = listen, .mFile = FLAGS_file, .mLag = FLAGS_lag_ms});
  }
  throw Error(ResultCode::kBadSetting,
              "--kind must be engine, service or platform");
}

}  // namespace
}  // namespace spindleweir

int main(int aArgc, char** aArgv) {
  return spindleweir::RunProgram(
      aArgc, aArgv, "simulates an engine, a service or the platform",
      spindleweir::Run);
}
