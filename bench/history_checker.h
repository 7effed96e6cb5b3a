/// Judges the records of a run against what must always hold.
#pragma once

#include <json/value.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace spindleweir {

/// Takes records (standins/record.h) in any order and lists what they break.
///
/// Kinds of records, besides those of the stand-ins ("layers", "run"):
/// - "answer": a caller's completion: request, router, outcome ("whole",
///   "error", "cut", "left"), ran, tokens, matches, begin_us;
/// - "call": a call with a key: key, request, router, outcome, ran, body;
/// - "accepted": an operator's command: version;
/// - "read": the accepted configuration as read: version, hash, begin_us;
/// - "in_force": a router's version: router, incarnation, version;
/// - "leaving", "back": a VM's leaving; "kill", "stop": a process's end.
class HistoryChecker {
 public:
  explicit HistoryChecker(int aLayers) : mLayers(aLayers) {}

  void Add(const Json::Value& aRecord);
  /// One line for each thing that must hold and did not.
  std::vector<std::string> Violations();
  /// How much there was to judge, for the report.
  std::string Summary() const;

 private:
  /// One token on one engine.
  struct LayerRun {
    std::string mEngine;
    int mFirst;
    int mLast;
    std::int64_t mAt;
  };
  using TokenKey = std::string;  ///< request, attempt, index.

  void JudgeLayers();
  void JudgeAnswers();
  void JudgeNotRun();
  void JudgeAtMostOnce();
  void JudgeLeaving();
  void JudgeStops();
  void JudgeConfiguration();
  void Break(const std::string& aLine) { mViolations.push_back(aLine); }
  static std::int64_t TimeOf(const Json::Value& aRecord) {
    return aRecord["wall_us"].asInt64();
  }

  int mLayers;
  std::map<TokenKey, std::vector<LayerRun>> mTokens;
  std::map<std::string, std::set<int>> mAttempts;  ///< Of a request.
  std::set<std::string> mServiceRequests;  ///< Requests that a service ran.
  std::map<std::string, std::vector<Json::Value>> mRecords;  ///< By kind.
  std::vector<std::string> mViolations;
};

}  // namespace spindleweir
