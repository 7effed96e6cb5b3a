/// spindleweir-control: the daemon that stores the accepted configuration.
#include <gflags/gflags.h>

#include <iostream>
#include <memory>

#include "platform/programs.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/log.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/daemons/control_daemon.h"

DEFINE_string(id, "", "name of this process in the list of entry VMs");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(rpc_listen, "127.0.0.1:0", "IP:PORT for routers and control");
DEFINE_string(operator_listen, "127.0.0.1:0", "IP:PORT for operators");
DEFINE_string(operator_key, "", "bearer key of the operators");
DEFINE_string(cluster_key, "", "secret that routers and control share");
DEFINE_string(entry_vms, "", "path of the list of entry VMs");
DEFINE_string(data, "", "data folder");
DEFINE_string(
    initial_voters, "",
    "ids of the first voters, comma-separated; only for the first start "
    "of a deployment");
DEFINE_string(platform, "", "IP:PORT of the platform's list of VMs");
DEFINE_string(port_file, "", "file to write the bound addresses to");
DEFINE_string(log_level, "info", "debug, info, warning or error");
DEFINE_int32(election_ms, 500,
             "min. milliseconds without a leader before an election");
DEFINE_int32(plan_lifetime_ms, 600000,
             "milliseconds in which a plan can be confirmed");
DEFINE_int32(receipts, 100000, "max. receipts stored on this VM");
DEFINE_string(boot, "",
              "settings file of the users' platform; then all settings but "
              "--cluster_key and --log_level come from it");
DEFINE_int32(metrics_port, 0, "with --boot: port for metrics; 0: none");
DEFINE_bool(check, false, "check the settings and exit");

namespace spindleweir {
namespace {

ControlOptions ReadOptions() {
  RequireSetting(FLAGS_id, "--id");
  RequireSetting(FLAGS_zone, "--zone");
  RequireSetting(FLAGS_operator_key, "--operator_key");
  RequireSetting(FLAGS_cluster_key, "--cluster_key");
  RequireSetting(FLAGS_entry_vms, "--entry_vms");
  RequireSetting(FLAGS_data, "--data");
  RequireSetting(FLAGS_platform, "--platform");
  RequireRange(FLAGS_election_ms, 50, 60000, "--election_ms");
  RequireRange(FLAGS_plan_lifetime_ms, 1000, 86400000, "--plan_lifetime_ms");
  RequireRange(FLAGS_receipts, 100, 100000000, "--receipts");
  return {.mId = FLAGS_id,
          .mZone = FLAGS_zone,
          .mRpcListen = ParseEndpoint(FLAGS_rpc_listen, "--rpc_listen"),
          .mOperatorListen =
              ParseEndpoint(FLAGS_operator_listen, "--operator_listen"),
          .mOperatorKey = FLAGS_operator_key,
          .mClusterKey = FLAGS_cluster_key,
          .mEntryVms = FLAGS_entry_vms,
          .mData = FLAGS_data,
          .mInitialVoters = SplitList(FLAGS_initial_voters),
          .mPlatform = ParseEndpoint(FLAGS_platform, "--platform"),
          .mPortFile = FLAGS_port_file,
          .mElectionTimeout = FLAGS_election_ms,
          .mPlanLifetime = FLAGS_plan_lifetime_ms,
          .mReceipts = static_cast<std::size_t>(FLAGS_receipts)};
}

int Run(const std::vector<std::string>& aArguments) {
  if (!aArguments.empty()) {
    throw Error(ResultCode::kUnknownSetting,
                aArguments.front() + " is not a setting");
  }
  if (!FLAGS_boot.empty()) {
    RequireSetting(FLAGS_cluster_key, "--cluster_key");
    return platform::RunControl({.mBoot = FLAGS_boot,
                                 .mClusterKey = FLAGS_cluster_key,
                                 .mLogLevel = FLAGS_log_level,
                                 .mCheckOnly = FLAGS_check,
                                 .mMetricsPort = FLAGS_metrics_port});
  }
  ControlOptions options = ReadOptions();
  StartLog(FLAGS_log_level, FLAGS_id);
  if (FLAGS_check) {
    std::cout << "settings are good\n";
    return 0;
  }
  EventLoop loop;
  std::unique_ptr<ControlDaemon> daemon;
  // A signal that arrives during construction is handled once the loop runs.
  const auto signal = loop.OnStopSignal([&daemon] { daemon->Stop(); });
  daemon = std::make_unique<ControlDaemon>(loop, std::move(options));
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace spindleweir

int main(int aArgc, char** aArgv) {
  return spindleweir::RunProgram(
      aArgc, aArgv, "stores the accepted configuration", spindleweir::Run);
}
