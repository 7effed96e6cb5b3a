/// The history checker accepts a valid run and detects each injected defect.
#include "bench/history_checker.h"

#include <functional>

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr std::int64_t kSecond = 1000000;

Json::Value MakeRecord(const char* aWhat, std::int64_t aAt,
                       const char* aWho = "x") {
  Json::Value record(Json::objectValue);
  record["what"] = aWhat;
  record["wall_us"] = static_cast<Json::Int64>(aAt);
  record["who"] = aWho;
  return record;
}

Json::Value MakeLayersRecord(std::int64_t aAt, const char* aEngine, int aIndex,
                             int aFirst, int aLast) {
  Json::Value record = MakeRecord("layers", aAt, aEngine);
  record["request"] = "r1";
  record["attempt"] = 1;
  record["index"] = aIndex;
  record["first"] = aFirst;
  record["last"] = aLast;
  return record;
}

/// The records of a run without any violation.
std::vector<Json::Value> ValidRun() {
  std::vector<Json::Value> run;
  for (int index = 0; index < 2; index++) {
    run.push_back(MakeLayersRecord(10 + index * 10, "e1", index, 0, 4));
    run.push_back(MakeLayersRecord(15 + index * 10, "e2", index, 4, 8));
  }
  Json::Value answer = MakeRecord("answer", 100);
  answer["request"] = "r1";
  answer["router"] = "router-0";
  answer["outcome"] = "whole";
  answer["tokens"] = 2;
  answer["matches"] = true;
  run.push_back(answer);
  Json::Value service = MakeRecord("run", 50, "kaunter");
  service["key"] = "k1";
  service["request"] = "r2";
  run.push_back(service);
  Json::Value call = MakeRecord("call", 60);
  call["key"] = "k1";
  call["request"] = "r2";
  call["router"] = "router-0";
  call["outcome"] = "whole";
  call["body"] = "paid";
  run.push_back(call);
  for (int version = 1; version <= 2; version++) {
    Json::Value accepted = MakeRecord("accepted", version * kSecond);
    accepted["version"] = version;
    run.push_back(accepted);
    Json::Value read = MakeRecord("read", version * kSecond + 20);
    read["begin_us"] = static_cast<Json::Int64>(version * kSecond + 10);
    read["version"] = version;
    read["hash"] = "h" + std::to_string(version);
    run.push_back(read);
    Json::Value force = MakeRecord("in_force", version * kSecond + 30);
    force["router"] = "router-0";
    force["incarnation"] = "1";
    force["version"] = version;
    run.push_back(force);
  }
  return run;
}

std::size_t ViolationsOf(const std::vector<Json::Value>& aRun) {
  HistoryChecker checker(8);
  for (const Json::Value& record : aRun) {
    checker.Add(record);
  }
  return checker.Violations().size();
}

/// A valid run in which the first record of a kind is changed.
std::vector<Json::Value> WithChangedRecord(
    const char* aWhat, const std::function<void(Json::Value&)>& aChange) {
  std::vector<Json::Value> run = ValidRun();
  for (Json::Value& record : run) {
    if (record["what"] == aWhat) {
      aChange(record);
      break;
    }
  }
  return run;
}

std::vector<Json::Value> WithAddedRecord(const Json::Value& aRecord) {
  std::vector<Json::Value> run = ValidRun();
  run.push_back(aRecord);
  return run;
}

}  // namespace

Test(history_checker, accepts_a_valid_run) {
  CHECK(ViolationsOf(ValidRun()) == 0);
}

Test(history_checker, detects_each_injected_defect) {
  SECTION("a layer that runs twice") {
    CHECK(ViolationsOf(WithAddedRecord(MakeLayersRecord(40, "e3", 0, 4, 8))) >
          0);
  }
  SECTION("layers that run out of order") {
    CHECK(ViolationsOf(WithChangedRecord("layers", [](Json::Value& aRecord) {
            aRecord["wall_us"] = 500;
          })) > 0);
  }
  SECTION("a layer that does not run") {
    CHECK(ViolationsOf(WithChangedRecord("layers", [](Json::Value& aRecord) {
            aRecord["first"] = 1;
          })) > 0);
  }
  SECTION("the answer to another request") {
    CHECK(ViolationsOf(WithChangedRecord("answer", [](Json::Value& aRecord) {
            aRecord["matches"] = false;
          })) > 0);
  }
  SECTION("a request that ran but was reported as not run") {
    CHECK(ViolationsOf(WithChangedRecord("answer", [](Json::Value& aRecord) {
            aRecord["outcome"] = "error";
            aRecord["ran"] = "no";
          })) > 0);
  }
  SECTION("two runs with one idempotency key") {
    Json::Value again = MakeRecord("run", 70, "kaunter");
    again["key"] = "k1";
    again["request"] = "r3";
    CHECK(ViolationsOf(WithAddedRecord(again)) > 0);
  }
  SECTION("a resend with a different answer") {
    Json::Value again = MakeRecord("call", 80);
    again["key"] = "k1";
    again["outcome"] = "whole";
    again["body"] = "paid again";
    CHECK(ViolationsOf(WithAddedRecord(again)) > 0);
  }
  SECTION("an answer to a call that never ran") {
    CHECK(ViolationsOf(WithChangedRecord("run", [](Json::Value& aRecord) {
            aRecord["key"] = "other";
          })) > 0);
  }
  SECTION("new work for a leaving upstream") {
    Json::Value notice = MakeRecord("leaving", 10 - 4 * kSecond);
    notice["vm"] = "e1";
    CHECK(ViolationsOf(WithAddedRecord(notice)) > 0);
  }
  SECTION("a broken answer although its router was not killed") {
    const auto cut = WithChangedRecord(
        "answer", [](Json::Value& aRecord) { aRecord["outcome"] = "cut"; });
    CHECK(ViolationsOf(cut) > 0);
    auto explained = cut;
    Json::Value kill = MakeRecord("kill", 90);
    kill["name"] = "router-0";
    explained.push_back(kill);
    CHECK(ViolationsOf(explained) == 0);
  }
  SECTION("a read of an older version than an earlier read") {
    Json::Value stale = MakeRecord("read", 3 * kSecond + 20);
    stale["begin_us"] = static_cast<Json::Int64>(3 * kSecond);
    stale["version"] = 1;
    stale["hash"] = "h1";
    CHECK(ViolationsOf(WithAddedRecord(stale)) > 0);
  }
  SECTION("two configurations with the same version") {
    Json::Value fork = MakeRecord("read", 1 * kSecond + 25);
    fork["begin_us"] = static_cast<Json::Int64>(1 * kSecond + 15);
    fork["version"] = 1;
    fork["hash"] = "other";
    CHECK(ViolationsOf(WithAddedRecord(fork)) > 0);
  }
  SECTION("a router that returns to an older version") {
    Json::Value back = MakeRecord("in_force", 4 * kSecond);
    back["router"] = "router-0";
    back["incarnation"] = "1";
    back["version"] = 1;
    CHECK(ViolationsOf(WithAddedRecord(back)) > 0);
  }
}
