/// spindleweir-router: the daemon of an entry VM that callers reach.
#include <gflags/gflags.h>

#include <iostream>
#include <memory>

#include "platform/programs.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/daemons/router_daemon.h"

DEFINE_string(id, "", "name of this process in the list of entry VMs");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(listen, "127.0.0.1:0", "IP:PORT for callers");
DEFINE_string(rpc_listen, "127.0.0.1:0", "IP:PORT for routers and control");
DEFINE_string(entry_vms, "", "path of the list of entry VMs");
DEFINE_string(platform, "", "IP:PORT of the platform's list of VMs");
DEFINE_string(cluster_key, "", "secret that routers and control share");
DEFINE_string(port_file, "", "file to write the bound addresses to");
DEFINE_string(log_level, "info", "debug, info, warning or error");
DEFINE_int32(max_in_flight, 512, "max. requests in flight at a time");
DEFINE_int32(max_queue, 1024, "max. requests in the queue");
DEFINE_int32(max_loads, 4,
             "max. engines of the zone that load layers at a time");
DEFINE_int32(silence_ms, 700, "stall timeout of a chain, milliseconds");
DEFINE_int32(stop_unready_ms, 2000,
             "milliseconds of service, not ready, after SIGTERM");
DEFINE_int32(stop_grace_ms, 60000,
             "milliseconds for requests in flight after SIGTERM");
DEFINE_string(boot, "",
              "settings file of the users' platform; then all settings but "
              "--cluster_key and --log_level come from it");
DEFINE_int32(metrics_port, 0, "with --boot: port for metrics; 0: none");
DEFINE_double(cost_zone_byte, 1,
              "with --boot: relative cost of bytes between zones, 0 to 1");
DEFINE_bool(check, false, "check the settings and exit");

namespace spindleweir {
namespace {

RouterOptions ReadOptions() {
  RequireSetting(FLAGS_id, "--id");
  RequireSetting(FLAGS_zone, "--zone");
  RequireSetting(FLAGS_entry_vms, "--entry_vms");
  RequireSetting(FLAGS_platform, "--platform");
  RequireSetting(FLAGS_cluster_key, "--cluster_key");
  RequireRange(FLAGS_max_in_flight, 1, 100000, "--max_in_flight");
  RequireRange(FLAGS_max_queue, 0, 1000000, "--max_queue");
  RequireRange(FLAGS_max_loads, 1, 10000, "--max_loads");
  RequireRange(FLAGS_silence_ms, 50, 600000, "--silence_ms");
  RequireRange(FLAGS_stop_unready_ms, 0, 600000, "--stop_unready_ms");
  RequireRange(FLAGS_stop_grace_ms, 0, 3600000, "--stop_grace_ms");
  return {.mId = FLAGS_id,
          .mZone = FLAGS_zone,
          .mListen = ParseEndpoint(FLAGS_listen, "--listen"),
          .mRpcListen = ParseEndpoint(FLAGS_rpc_listen, "--rpc_listen"),
          .mEntryVms = FLAGS_entry_vms,
          .mPlatform = ParseEndpoint(FLAGS_platform, "--platform"),
          .mClusterKey = FLAGS_cluster_key,
          .mPortFile = FLAGS_port_file,
          .mMaximumInFlight = FLAGS_max_in_flight,
          .mMaximumQueue = FLAGS_max_queue,
          .mMaxLoads = FLAGS_max_loads,
          .mStallTimeout = FLAGS_silence_ms,
          .mStopUnready = FLAGS_stop_unready_ms,
          .mStopGrace = FLAGS_stop_grace_ms};
}

int Run(const std::vector<std::string>& aArguments) {
  if (!aArguments.empty()) {
    throw Error(ResultCode::kUnknownSetting,
                aArguments.front() + " is not a setting");
  }
  if (!FLAGS_boot.empty()) {
    RequireSetting(FLAGS_cluster_key, "--cluster_key");
    RequireRange(FLAGS_cost_zone_byte, 0, 1, "--cost_zone_byte");
    return platform::RunRouter(
        {.mBoot = FLAGS_boot,
         .mClusterKey = FLAGS_cluster_key,
         .mLogLevel = FLAGS_log_level,
         .mCheckOnly = FLAGS_check,
         .mMetricsPort = FLAGS_metrics_port,
         .mCosts = {.mInterZoneByte = FLAGS_cost_zone_byte}});
  }
  RouterOptions options = ReadOptions();
  StartLog(FLAGS_log_level, FLAGS_id);
  if (FLAGS_check) {
    std::cout << "settings are good\n";
    return 0;
  }
  EventLoop loop;
  std::unique_ptr<RouterDaemon> daemon;
  // A signal that arrives during construction is handled once the loop runs.
  const auto signal = loop.OnStopSignal([&daemon] { daemon->Stop(); });
  daemon = std::make_unique<RouterDaemon>(loop, std::move(options));
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace spindleweir

int main(int aArgc, char** aArgv) {
  return spindleweir::RunProgram(
      aArgc, aArgv, "accepts callers' requests and routes them to upstreams",
      spindleweir::Run);
}
