/// What docs/CAPACITY.md is worked out from: bytes and processor time for each
/// thing of which there will be many.
#include <malloc.h>
#include <time.h>

#include <filesystem>
#include <iostream>
#include <memory>

#include "bench/commands.h"
#include "bench/fleet.h"
#include "spindleweir/core/digest.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/daemons/peer_messages.h"
#include "spindleweir/drivers/raft_disk_storage.h"
#include "spindleweir/servers/claims/claim_keeper.h"
#include "spindleweir/servers/configuration/configuration_machine.h"
#include "spindleweir/servers/consensus/raft_node.h"
#include "spindleweir/servers/membership/member_table.h"
#include "spindleweir/servers/receipts/receipt_store.h"
#include "spindleweir/servers/routing/upstream_view.h"

namespace spindleweir {

namespace {

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

double CpuMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

void Print(const BenchOptions& aOptions, const std::string& aCase,
           double aValue, const std::string& aUnit) {
  PrintMeasure({.mMeasure = "slope",
                .mCase = aCase,
                .mVariant = "ours",
                .mValue = aValue,
                .mUnit = aUnit},
               aOptions.mJson);
}

EngineReport ReportOf(int aIndex) {
  EngineReport report;
  report.mEngine = "zone-0-gpu-" + std::to_string(aIndex);
  report.mZone = "zone-" + std::to_string(aIndex % 15);
  report.mAccelerator = "a100";
  report.mMemoryLayers = 16;
  report.mLayerMicros = 1000;
  report.mModel = "quill";
  report.mVersion = "1";
  report.mFirst = aIndex % 4 * 12;
  report.mLast = report.mFirst + 12;
  report.mStepMillis = 12;
  return report;
}

/// Bytes a replica in a router's view, at a small and at the full number: the
/// second checks the first.
void MeasureView(const BenchOptions& aOptions) {
  for (const int count : {1000, 12000}) {
    const double before = HeapBytes();
    UpstreamView view({});
    for (int i = 0; i < count; i++) {
      const EngineReport report = ReportOf(i);
      view.Listed(report.mEngine, report.mZone, "", {"10.0.0.1", 7000}, false,
                  0);
      view.Reported(report, 0);
    }
    Print(aOptions, "replica in a view of " + std::to_string(count),
          (HeapBytes() - before) / count, "bytes");
    const double cpu = CpuMicros();
    const std::size_t listed = view.Candidates(1).size();
    Print(aOptions, "candidates of a view of " + std::to_string(listed),
          (CpuMicros() - cpu) / count, "us each");
  }
}

Configuration ConfigurationOf(int aWorkspaces, int aStages) {
  Configuration configuration;
  configuration.mVersion = 1;
  for (int i = 0; i < aWorkspaces; i++) {
    configuration.mIntent.mWorkspaces.push_back(
        {.mName = "workspace-" + std::to_string(i),
         .mKeySha256 = std::string(64, 'a')});
  }
  for (int i = 0; i < 4; i++) {
    configuration.mIntent.mModels.push_back(
        {.mName = "model-" + std::to_string(i), .mLayers = 48});
  }
  for (int i = 0; i < aStages; i++) {
    const EngineReport report = ReportOf(i);
    configuration.mPlacement.push_back({.mEngine = report.mEngine,
                                        .mZone = report.mZone,
                                        .mModel = report.mModel,
                                        .mVersion = "1",
                                        .mFirst = report.mFirst,
                                        .mLast = report.mLast});
  }
  configuration.mHash = std::string(64, 'a');
  SortLists(configuration);
  return configuration;
}

void MeasureConfigurationSize(const BenchOptions& aOptions) {
  const auto bytes = [](int aWorkspaces, int aStages) {
    return static_cast<double>(
        DumpJson(ToJson(ConfigurationOf(aWorkspaces, aStages))).size());
  };
  const double base = bytes(0, 0);
  Print(aOptions, "workspace in a configuration", (bytes(680, 0) - base) / 680,
        "bytes");
  Print(aOptions, "stage in a configuration", (bytes(0, 1000) - base) / 1000,
        "bytes");
  Print(aOptions, "configuration of 680 workspaces, 12000 stages",
        bytes(680, 12000), "bytes");
  const double heap = HeapBytes();
  auto kept = std::make_unique<Configuration>(ConfigurationOf(680, 12000));
  Print(aOptions, "the same in memory", HeapBytes() - heap, "bytes");
  double cpu = CpuMicros();
  ConfigurationHistory whole;
  const ConfigurationUpdate news{
      .mIsFull = true,
      .mFull = *kept,
      .mFullDigest = Sha256Hex(DumpJson(ToJson(*kept)))};
  whole.ApplyUpdate(
      FromJson<ConfigurationUpdate>(ParseJson(DumpJson(ToJson(news)))));
  Print(aOptions, "the same written, read and checked", CpuMicros() - cpu,
        "us");
  Configuration next = *kept;
  for (int i = 0; i < 4; i++) {
    next.mPlacement[static_cast<std::size_t>(i)].mFirst++;
  }
  cpu = CpuMicros();
  const ConfigurationChange change = ChangeBetween(*kept, next);
  Print(aOptions, "a change of four stages found", CpuMicros() - cpu, "us");
  const std::string text = DumpJson(ToJson(ConfigurationUpdate{{change}}));
  Print(aOptions, "a change of four stages", static_cast<double>(text.size()),
        "bytes");
  cpu = CpuMicros();
  const bool taken =
      whole.ApplyUpdate(FromJson<ConfigurationUpdate>(ParseJson(text))) ==
      ConfigurationUpdateResult::kApplied;
  Print(aOptions, taken ? "a change of four stages read and applied" : "failed",
        CpuMicros() - cpu, "us");
}

void MeasureMembers(const BenchOptions& aOptions) {
  for (const int count : {8, 64, 520}) {
    std::vector<std::string> ids;
    for (int i = 0; i < count; i++) {
      ids.push_back("router-" + std::to_string(i));
    }
    const double heap = HeapBytes();
    int probes = 0;
    MemberTableOptions options;
    options.mId = ids[0];
    options.mSendProbe = [&probes](const std::string&, const std::string&) {
      probes++;
    };
    options.mOnStateChange = [](const MemberUpdate&) {};
    MemberTable table(options, 0);
    table.SetMembers(ids, 0);
    Print(aOptions, "member in a table of " + std::to_string(count),
          (HeapBytes() - heap) / count, "bytes");
    PeerState state;
    state.mFrom = ids[0];
    state.mZone = "zone-0";
    state.mUpdates = std::vector<MemberUpdate>(
        8, {ids.back(), MemberState::kSuspect, 1796213499447});
    Print(aOptions, "probe with 8 updates",
          static_cast<double>(DumpJson(ToJson(state)).size()), "bytes");
    const double cpu = CpuMicros();
    for (Millis now = 0; now < 60000; now += 50) {
      table.Tick(now);
      table.NextGossip();
    }
    Print(aOptions, "a minute of ticks with " + std::to_string(count),
          CpuMicros() - cpu, "us");
  }
}

/// Calls Tick() of a voter each millisecond, as long as the timer exists.
std::unique_ptr<Timer> TickEachMillisecond(EventLoop& aLoop, RaftNode& aNode) {
  return aLoop.Every(1, [&aNode] { aNode.Tick(SteadyNow()); });
}

void MeasureLog(const BenchOptions& aOptions, const std::string& aFolder) {
  Command command;
  command.mId = "0123456789abcdef01234567";
  command.mDigest = std::string(64, 'a');
  command.mKind = CommandKind::kDrain;
  command.mVm = "zone-0-gpu-100";
  Print(aOptions, "drain command in the log",
        static_cast<double>(DumpJson(ToJson(command)).size()), "bytes");
  ConfigurationMachine machine;
  constexpr int kChanges = 1000;
  double cpu = CpuMicros();
  EventLoop loop;
  {
    RaftNode* voter = nullptr;
    RaftDiskStorage storage(loop, OpenRaftLog(aFolder + "/raft.log"),
                            {.mOnProgress = [&voter, &loop] {
                              voter->OnStorageProgress(SteadyNow());
                              loop.Stop();
                            }});
    RaftOptions options;
    options.mId = "v";
    options.mVoters = {"v"};
    options.mStorage = &storage;
    options.mSend = [](const RaftMessage&) {};
    options.mApply = [&machine](const LogEntry& aEntry) {
      machine.Apply(FromJson<Command>(ParseJson(aEntry.mPayload)));
    };
    options.mMakeSnapshot = [&machine] { return machine.Save(); };
    options.mInstallSnapshot = [&machine](const std::string& aData) {
      machine.Restore(aData);
    };
    RaftNode node(options, SteadyNow() - options.mElectionTimeout);
    voter = &node;
    const auto tick = TickEachMillisecond(loop, node);
    while (!node.Leads()) {
      loop.Run();
    }
    for (int i = 0; i < kChanges; i++) {
      command.mId = "command-" + std::to_string(i);
      command.mDrain = i % 2 == 0;
      const std::int64_t index = node.Propose(DumpJson(ToJson(command)));
      while (node.CommitIndex() < index) {
        loop.Run();
      }
    }
    Print(aOptions, "an accepted change on one voter",
          (CpuMicros() - cpu) / kChanges, "us");
    Print(aOptions, "log file after 1000 changes",
          static_cast<double>(storage.Bytes()), "bytes");
  }
  const std::int64_t version = machine.Current().mVersion;
  cpu = CpuMicros();
  const auto begin = std::chrono::steady_clock::now();
  ConfigurationMachine again;
  RaftNode* restarted = nullptr;
  RaftDiskStorage storage(loop, OpenRaftLog(aFolder + "/raft.log"),
                          {.mOnProgress = [&restarted, &loop] {
                            restarted->OnStorageProgress(SteadyNow());
                            loop.Stop();
                          }});
  RaftOptions options;
  options.mId = "v";
  options.mStorage = &storage;
  options.mSend = [](const RaftMessage&) {};
  options.mApply = [&again](const LogEntry& aEntry) {
    again.Apply(FromJson<Command>(ParseJson(aEntry.mPayload)));
  };
  options.mMakeSnapshot = [&again] { return again.Save(); };
  options.mInstallSnapshot = [&again](const std::string& aData) {
    again.Restore(aData);
  };
  RaftNode node(options, SteadyNow() - options.mElectionTimeout);
  restarted = &node;
  const auto tick = TickEachMillisecond(loop, node);
  while (!node.Leads()) {
    loop.Run();
  }
  const double millis = std::chrono::duration<double, std::milli>(
                            std::chrono::steady_clock::now() - begin)
                            .count();
  const bool same = again.Current().mVersion == version;
  Print(aOptions,
        same ? "restart to the accepted state after 1000 changes" : "failed",
        millis, "ms");
}

void MeasureClaims(const BenchOptions& aOptions) {
  constexpr int kClaims = 20000;
  const double heap = HeapBytes();
  ClaimKeeper keeper({.mPersist = [](const ClaimRecord&) {}});
  const double cpu = CpuMicros();
  for (int i = 0; i < kClaims; i++) {
    ClaimMessage message;
    message.mRecord.mKey =
        "travellers\nkaunter-api\norder-" + std::to_string(i);
    message.mRecord.mDigest = std::string(64, 'a');
    message.mRecord.mOwner = "router-1-1796213499447-" + std::to_string(i);
    keeper.Handle(message, i);
    message.mOperation = ClaimOperation::kFinish;
    message.mRecord.mState = ClaimState::kDone;
    message.mRecord.mAnswer = {200, "application/json", std::string(200, 'x')};
    keeper.Handle(message, i);
  }
  Print(aOptions, "claim with an answer of 200 bytes at a keeper",
        (HeapBytes() - heap) / kClaims, "bytes");
  Print(aOptions, "claim and its end at a keeper, without the disk",
        (CpuMicros() - cpu) / kClaims, "us");
}

void MeasureReceipts(const BenchOptions& aOptions) {
  Receipt receipt;
  receipt.mRequest = "router-100-1796213499447-100000";
  receipt.mWorkspace = "workspace-100";
  receipt.mTarget = "quill";
  receipt.mRouter = "router-100";
  receipt.mZone = "zone-10";
  receipt.mRan = "yes";
  ReceiptAttempt attempt{.mAttempt = 1, .mEnded = "done"};
  for (int i = 0; i < 4; i++) {
    attempt.mStages.push_back(
        ConfigurationOf(0, 4).mPlacement[static_cast<std::size_t>(i)]);
  }
  receipt.mAttempts.push_back(attempt);
  Print(aOptions, "receipt of four stages",
        static_cast<double>(DumpJson(ToJson(receipt)).size()), "bytes");
  const double heap = HeapBytes();
  ReceiptStore book(100000);
  for (int i = 0; i < 10000; i++) {
    receipt.mRequest = "router-100-1796213499447-" + std::to_string(i);
    book.Add(receipt);
  }
  Print(aOptions, "receipt in the memory of control",
        (HeapBytes() - heap) / 10000, "bytes");
}

/// Processor time and bytes of routers and control with nothing to do.
void MeasureIdle(const BenchOptions& aOptions, double aSeconds) {
  for (const int routers : {4, 8, 16}) {
    FleetOptions options;
    options.mZones = 3;
    options.mRouters = routers;
    options.mEngines = 9;
    options.mControls = 3;
    Fleet fleet(options);
    if (!fleet.Begin()) {
      std::cerr << "the fleet did not start\n";
      continue;
    }
    const auto sent = [&fleet] {
      double sum = 0;
      for (const auto& router : fleet.mRouters) {
        const std::string text =
            fleet.Fetch(router->Address(), "GET", "/metrics", "").mBody;
        const std::size_t at = text.find("\nspindleweir_rpc_sent_bytes ");
        sum += at == std::string::npos ? 0 : std::stod(text.substr(at + 28));
      }
      return sum;
    };
    const double cpu = fleet.CpuOfRouters();
    const double bytes = sent();
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
    const std::string suffix = " with " + std::to_string(routers) + " routers";
    Print(aOptions, "idle router's core" + suffix,
          (fleet.CpuOfRouters() - cpu) / aSeconds / routers * 100, "%");
    Print(aOptions, "idle router's requests" + suffix,
          (sent() - bytes) / aSeconds / routers, "bytes/s");
  }
}

}  // namespace

void MeasureSlopes(const BenchOptions& aOptions) {
  std::string pattern =
      std::filesystem::temp_directory_path() / "spindleweir-slopes.XXXXXX";
  const std::string folder = mkdtemp(pattern.data());
  MeasureView(aOptions);
  MeasureConfigurationSize(aOptions);
  MeasureMembers(aOptions);
  MeasureLog(aOptions, folder);
  MeasureClaims(aOptions);
  MeasureReceipts(aOptions);
  MeasureIdle(aOptions, std::max(1.0, (aOptions.mSeconds - 18) / 3));
  std::error_code ec;
  std::filesystem::remove_all(folder, ec);
}

}  // namespace spindleweir
