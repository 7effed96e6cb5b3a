/// spindleweir-bench: load, faults and measures against stand-ins.
#include <gflags/gflags.h>

#include "bench/commands.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/settings.h"

DEFINE_double(seconds, 30, "bound of the whole call");
DEFINE_string(targets, "", "history: file of processes to talk to");
DEFINE_string(record, "", "history: file to record to");
DEFINE_string(drainable, "", "history: VM that operators drain");
DEFINE_bool(keep, false, "history: callers keep their connections");
DEFINE_uint32(seed, 1, "history: seed");
DEFINE_int32(layers, 12, "history, check: layers of the model");
DEFINE_bool(json, false, "print one JSON object a line");

namespace spindleweir {
namespace {

constexpr const char* kUsage =
    "spindleweir-bench [flags] MEASURE\n\n"
    "  throughput     tokens a second against the bound and other choosers\n"
    "  recovery       from each fault: detection, good answers, throughput\n"
    "  overhead       against a bare relay, and the cost of decisions\n"
    "  limits         a flooding workspace, overload\n"
    "  configuration  from acceptance to force; restart; claims\n"
    "  placement      against the best, an equal split and a greedy one\n"
    "  choice         many routers with late news against one that sees all\n"
    "  control        what each part of control's work costs by engines\n"
    "  polls          what polls cost a control by kind and number of routers\n"
    "  slopes         what docs/CAPACITY.md is worked out from\n"
    "  memory         3,000 slow callers beside 200 that read well\n"
    "  history        callers and operators for scripts/history\n"
    "  check FILE...  judges the records of a history\n"
    "  report FILE... a page with plots from saved --json lines\n";

/// A measure and its name.
struct Command {
  const char* mName;
  void (*mRun)(const BenchOptions&);
};

constexpr Command kCommands[] = {{"throughput", MeasureThroughput},
                                 {"recovery", MeasureRecovery},
                                 {"overhead", MeasureOverhead},
                                 {"limits", MeasureLimits},
                                 {"configuration", MeasureConfiguration},
                                 {"placement", MeasurePlacement},
                                 {"choice", MeasureChoice},
                                 {"control", MeasureControl},
                                 {"polls", MeasurePolls},
                                 {"slopes", MeasureSlopes},
                                 {"memory", MeasureMemory}};

int Run(const std::vector<std::string>& aArguments) {
  RequireRange(FLAGS_seconds, 1, 86400, "--seconds");
  if (aArguments.size() == 1 && aArguments[0] == "history") {
    RunHistoryLoad({.mTargets = FLAGS_targets,
                    .mRecord = FLAGS_record,
                    .mDrainable = FLAGS_drainable,
                    .mKeeps = FLAGS_keep,
                    .mSeed = FLAGS_seed,
                    .mLength = static_cast<Millis>(FLAGS_seconds * 1000),
                    .mLayers = FLAGS_layers});
    return 0;
  }
  if (aArguments.size() > 1 && aArguments[0] == "check") {
    return CheckHistory({aArguments.begin() + 1, aArguments.end()},
                        FLAGS_layers);
  }
  if (aArguments.size() > 1 && aArguments[0] == "report") {
    MakeReport({aArguments.begin() + 1, aArguments.end()});
    return 0;
  }
  for (const Command& command : kCommands) {
    if (aArguments.size() == 1 && aArguments[0] == command.mName) {
      command.mRun({.mSeconds = FLAGS_seconds, .mJson = FLAGS_json});
      return 0;
    }
  }
  throw Error(ResultCode::kBadSetting, "no such measure; see --help");
}

}  // namespace
}  // namespace spindleweir

int main(int aArgc, char** aArgv) {
  return spindleweir::RunProgram(aArgc, aArgv, spindleweir::kUsage,
                                 spindleweir::Run);
}
