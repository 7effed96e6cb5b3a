#include "bench/history_checker.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// From the first word that a VM leaves to the last new work it may get.
constexpr std::int64_t kLeavingMicros = 3000000;

std::string TokenKeyOf(const std::string& aRequest, int aAttempt, int aIndex) {
  return aRequest + "/" + std::to_string(aAttempt) + "/" +
         std::to_string(aIndex);
}

}  // namespace

void HistoryChecker::Add(const Json::Value& aRecord) {
  const std::string what = aRecord["what"].asString();
  if (what == "layers") {
    const std::string request = aRecord["request"].asString();
    const int attempt = aRecord["attempt"].asInt();
    mAttempts[request].insert(attempt);
    mTokens[TokenKeyOf(request, attempt, aRecord["index"].asInt())].push_back(
        {aRecord["who"].asString(), aRecord["first"].asInt(),
         aRecord["last"].asInt(), TimeOf(aRecord)});
  }
  if (what == "run") {
    mServiceRequests.insert(aRecord["request"].asString());
  }
  mRecords[what].push_back(aRecord);
}

std::vector<std::string> HistoryChecker::Violations() {
  mViolations.clear();
  JudgeLayers();
  JudgeAnswers();
  JudgeNotRun();
  JudgeAtMostOnce();
  JudgeLeaving();
  JudgeStops();
  JudgeConfiguration();
  return mViolations;
}

void HistoryChecker::JudgeLayers() {
  for (auto& [key, runs] : mTokens) {
    std::sort(runs.begin(), runs.end(),
              [](const LayerRun& aLeft, const LayerRun& aRight) {
                return aLeft.mFirst != aRight.mFirst
                           ? aLeft.mFirst < aRight.mFirst
                           : aLeft.mAt < aRight.mAt;
              });
    for (std::size_t i = 1; i < runs.size(); i++) {
      if (runs[i].mFirst < runs[i - 1].mLast) {
        Break("layers run twice for token " + key);
      } else if (runs[i].mFirst == runs[i - 1].mLast &&
                 runs[i].mAt < runs[i - 1].mAt) {
        Break("layers out of order for token " + key);
      }
    }
  }
}

void HistoryChecker::JudgeAnswers() {
  for (const Json::Value& answer : mRecords["answer"]) {
    const std::string request = answer["request"].asString();
    if (!answer["matches"].asBool()) {
      Break("answer " + request + " is not the caller's own");
    }
    if (answer["outcome"].asString() != "whole") {
      continue;
    }
    for (int index = 0; index < answer["tokens"].asInt(); index++) {
      bool complete = false;
      for (int attempt : mAttempts[request]) {
        int layer = 0;
        for (const LayerRun& run :
             mTokens[TokenKeyOf(request, attempt, index)]) {
          layer = run.mFirst == layer ? run.mLast : -1;
        }
        complete = complete || layer == mLayers;
      }
      if (!complete) {
        Break("token " + std::to_string(index) + " of " + request +
              " did not run through all layers");
      }
    }
  }
}

void HistoryChecker::JudgeNotRun() {
  for (const char* kind : {"answer", "call"}) {
    for (const Json::Value& record : mRecords[kind]) {
      const std::string request = record["request"].asString();
      const bool ran =
          mAttempts.contains(request) || mServiceRequests.contains(request);
      if (record["ran"].asString() == "no" && !request.empty() && ran) {
        Break(request + " was refused as not run, and ran");
      }
    }
  }
}

void HistoryChecker::JudgeAtMostOnce() {
  std::map<std::string, int> runs;
  for (const Json::Value& run : mRecords["run"]) {
    if (!run["key"].asString().empty()) {
      runs[run["key"].asString()]++;
    }
  }
  for (const auto& [key, count] : runs) {
    if (count > 1) {
      Break("key " + key + " ran " + std::to_string(count) + " times");
    }
  }
  std::map<std::string, std::string> answers;
  for (const Json::Value& call : mRecords["call"]) {
    const std::string key = call["key"].asString();
    if (call["outcome"].asString() != "whole") {
      continue;
    }
    const auto [it, first] = answers.emplace(key, call["body"].asString());
    if (!first && it->second != call["body"].asString()) {
      Break("key " + key + " got two different answers");
    }
    if (runs[key] == 0) {
      Break("key " + key + " was answered and never ran");
    }
  }
}

void HistoryChecker::JudgeLeaving() {
  for (const Json::Value& word : mRecords["leaving"]) {
    const std::string vm = word["vm"].asString();
    const std::int64_t from = TimeOf(word) + kLeavingMicros;
    std::int64_t until = INT64_MAX;
    for (const Json::Value& back : mRecords["back"]) {
      if (back["vm"].asString() == vm && TimeOf(back) > TimeOf(word)) {
        until = std::min(until, TimeOf(back));
      }
    }
    std::map<std::string, std::int64_t> begun;  // By request and attempt.
    for (const Json::Value& run : mRecords["layers"]) {
      if (run["who"].asString() != vm) {
        continue;
      }
      const std::string key = run["request"].asString() + "/" +
                              std::to_string(run["attempt"].asInt());
      const auto [it, first] = begun.emplace(key, TimeOf(run));
      it->second = std::min(it->second, TimeOf(run));
    }
    for (const auto& [key, at] : begun) {
      if (at > from && at < until) {
        Break("leaving " + vm + " got new work, " + key);
      }
    }
  }
}

void HistoryChecker::JudgeStops() {
  // A cut answer is explained by a router that was killed, not by one that
  // was stopped.
  for (const char* kind : {"answer", "call"}) {
    for (const Json::Value& record : mRecords[kind]) {
      if (record["outcome"].asString() != "cut") {
        continue;
      }
      bool killed = false;
      for (const Json::Value& kill : mRecords["kill"]) {
        killed =
            killed || (kill["name"].asString() == record["router"].asString() &&
                       TimeOf(kill) + 1000000 > record["begin_us"].asInt64() &&
                       TimeOf(kill) <= TimeOf(record) + 1000000);
      }
      if (!killed) {
        Break(std::string(kind) + " cut off at " + record["router"].asString() +
              ", which was not killed, at " + std::to_string(TimeOf(record)));
      }
    }
  }
}

void HistoryChecker::JudgeConfiguration() {
  std::map<std::int64_t, std::string> hashes;
  std::vector<Json::Value> reads = mRecords["read"];
  for (const Json::Value& accepted : mRecords["accepted"]) {
    reads.push_back(accepted);
  }
  std::sort(reads.begin(), reads.end(),
            [](const Json::Value& aLeft, const Json::Value& aRight) {
              return TimeOf(aLeft) < TimeOf(aRight);
            });
  for (const Json::Value& read : reads) {
    const std::string hash = read["hash"].asString();
    const auto [it, first] = hashes.emplace(read["version"].asInt64(), hash);
    if (!first && !hash.empty() && !it->second.empty() && it->second != hash) {
      Break("version " + std::to_string(it->first) + " has two contents");
    }
    if (it->second.empty()) {
      it->second = hash;
    }
  }
  // Linearizable: what was known before a read began is seen by it.
  std::int64_t greatest = 0;
  std::size_t ended = 0;
  std::vector<Json::Value> byBegin = mRecords["read"];
  std::sort(byBegin.begin(), byBegin.end(),
            [](const Json::Value& aLeft, const Json::Value& aRight) {
              return aLeft["begin_us"].asInt64() < aRight["begin_us"].asInt64();
            });
  for (const Json::Value& read : byBegin) {
    while (ended < reads.size() &&
           TimeOf(reads[ended]) < read["begin_us"].asInt64()) {
      greatest = std::max(greatest, reads[ended]["version"].asInt64());
      ended++;
    }
    if (read["version"].asInt64() < greatest) {
      Break("a read gave version " + std::to_string(read["version"].asInt64()) +
            " after version " + std::to_string(greatest));
    }
  }
  std::map<std::string, std::int64_t> inForce;
  std::vector<Json::Value> seen = mRecords["in_force"];
  std::sort(seen.begin(), seen.end(),
            [](const Json::Value& aLeft, const Json::Value& aRight) {
              return TimeOf(aLeft) < TimeOf(aRight);
            });
  for (const Json::Value& record : seen) {
    std::int64_t& version = inForce[record["router"].asString() + "/" +
                                    record["incarnation"].asString()];
    if (record["version"].asInt64() < version) {
      Break("router " + record["router"].asString() + " went back to version " +
            std::to_string(record["version"].asInt64()));
    }
    version = std::max(version, record["version"].asInt64());
  }
}

std::string HistoryChecker::Summary() const {
  const auto count = [this](const char* aKind) {
    const auto it = mRecords.find(aKind);
    return std::to_string(it == mRecords.end() ? 0 : it->second.size());
  };
  return count("answer") + " answers, " + count("call") + " calls, " +
         count("run") + " runs, " + count("layers") + " stage runs, " +
         count("accepted") + " accepted, " + count("read") + " reads, " +
         count("kill") + " kills, " + count("stop") + " stops, " +
         count("leaving") + " leaving";
}

}  // namespace spindleweir
