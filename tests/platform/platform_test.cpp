/// The adapter: names and formats, and that what cannot be read is refused
/// with a number.
#include "platform/boot_settings.h"
#include "platform/caller_headers.h"
#include "platform/configuration_document.h"
#include "platform/engine_messages.h"
#include "platform/heartbeat_document.h"
#include "spindleweir/core/json_codec.h"
#include "tests/test_tools.h"

using namespace spindleweir;
using namespace spindleweir::platform;

namespace {

constexpr const char* kDocument = R"({"version":7,
 "routes":[{"name":"r","host":"h.example","pathPrefix":"/a/",
   "kind":"streaming","timeoutMs":20000,"targetLatencyMs":500,"priority":1,
   "split":[{"service":"lm","weight":90},{"service":"api","weight":10}],
   "maxAttempts":2,"public":false,"resumable":true,"gap_aim_ms":200}],
 "services":[{"name":"lm","healthPath":"/health","maxConns":9,
   "engine":{"slots":192,"kvTokenBytes":918000,"layers":80,"layer_mb":1750.0,
     "models":[{"name":"m","load_s":14.0}],"usual":{"prompt":774,"answer":200},
     "delays":[{"delay_ms":0.75}],
     "kinds":[{"name":"a100","mb":72000.0,"pace":2.4,"read_x":3.2}]}},
   {"name":"api"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
   "headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k"],"priority":1}]})";

RequestHead Head() {
  RequestHead head;
  head.mMethod = "POST";
  head.mTarget = "/a/b";
  head.mHeaders = {
      {"Host", "h.example"},
      {"Spindleweir-Request-Id", "9c41"},
      {"Spindleweir-Deadline-Ms", "4000"},
      {"Authorization", "Bearer k"},
      {"Spindleweir-Tenant", "forged"},
      {"Spindleweir-Token-Count", "1460,80"},
      {"Spindleweir-Prefix-Hash", "5C1e07a2:800, 91bd3f06:410,e4:250"},
      {"Length-Hint", "60"},
      {"Last-Event-Id", "12"},
      {"Connection", "keep-alive"},
      {"X-Other", "stays"}};
  return head;
}

std::string ValueOf(const HttpHeaders& aHeaders, const char* aName) {
  const std::string* value = FindHeader(aHeaders, aName);
  return value == nullptr ? "(none)" : *value;
}

}  // namespace

Test(platform, a_document_becomes_a_configuration) {
  const TrafficConfiguration read = ReadConfigurationDocument(kDocument);
  CheckTrafficConfiguration(read);
  CHECK(read.mVersion == 7);
  CHECK(read.mRoutes[0].mKind == RouteKind::kStream);
  CHECK(read.mRoutes[0].mTargets.size() == 2);
  CHECK(read.FindService("lm")->mEngine.mLayers == 80);
  CHECK(read.FindService("lm")->mEngine.mLoadSeconds == 14);
  CHECK(!read.FindService("api")->IsEngine());
  CHECK(read.mWorkspaces[0].mKeys[0] == "k");
  SECTION("it goes to routers in the product's words and comes back") {
    const auto copy = FromJson<TrafficConfiguration>(ToJson(read));
    CHECK(DumpJson(ToJson(copy)) == DumpJson(ToJson(read)));
  }
  SECTION("what cannot be read is refused with a number") {
    const std::string text = kDocument;
    CHECK(CodeThrownBy([&] {
            ReadConfigurationDocument(text.substr(0, text.size() / 2));
          }) == ResultCode::kMalformedJson);
    CHECK(CodeThrownBy([] { ReadConfigurationDocument("{}"); }) ==
          ResultCode::kBadField);
    CHECK(CodeThrownBy([] {
            ReadConfigurationDocument(
                R"({"version":1,"services":[],"routes":[{"name":"r","host":"h",
                "pathPrefix":"/","kind":"other","timeoutMs":1}]})");
          }) == ResultCode::kBadConfiguration);
  }
}

// An empty list of tenants was taken for none, and opened the deployment to
// every key.
Test(platform, an_empty_list_of_tenants_still_needs_keys) {
  const auto read = [](const std::string& aTenants) {
    return ReadConfigurationDocument(
        R"({"version":7,"routes":[],"services":[])" + aTenants + "}");
  };
  SECTION("no key is valid") {
    CHECK(read(R"(,"tenants":[])").NeedsKeys());
    CHECK(read(R"(,"tenants":[])").mWorkspaces.empty());
    CHECK(read(R"(,"tenants":[{"name":"t","apiKeys":[]}])").NeedsKeys());
    CHECK(read(R"(,"tenants":[{"name":"t"}])").NeedsKeys());
  }
  SECTION("nor with null in its place, where an earlier build accepted it") {
    CHECK(read(R"(,"tenants":null)").NeedsKeys());
  }
  SECTION("a document without tenants needs none") {
    CHECK(!read("").NeedsKeys());
  }
  SECTION("the product's words keep the difference") {
    for (const char* tenants : {"", R"(,"tenants":[])"}) {
      const TrafficConfiguration first = read(tenants);
      const auto copy = FromJson<TrafficConfiguration>(ToJson(first));
      CHECK(copy.NeedsKeys() == first.NeedsKeys());
    }
  }
}

/// Guards against documents that are acknowledged though they are invalid, or
/// cannot be read back.
Test(platform, a_new_document_is_checked_as_text) {
  const auto code = [](const std::string& aText) {
    return CodeThrownBy([&aText] { CheckNewDocument(aText); });
  };
  CHECK(code(kDocument) == ResultCode::kOk);
  CHECK(code(R"({"version":7,"routes":[],"services":[]})") == ResultCode::kOk);
  SECTION("null is neither a list nor left out") {
    for (const char* field : {"version", "routes", "services", "tenants"}) {
      Json::Value document = ParseJson(kDocument);
      document[field] = Json::Value();
      CHECK(code(DumpJson(document)) == ResultCode::kBadField);
    }
    for (const char* field : {"name", "host", "pathPrefix", "kind"}) {
      Json::Value document = ParseJson(kDocument);
      document["routes"][0][field] = Json::Value();
      CHECK(code(DumpJson(document)) == ResultCode::kBadField);
    }
    CHECK(code(R"({"version":7,"routes":[],"services":[],
               "tenants":[{"name":"t","apiKeys":null}]})") ==
          ResultCode::kBadField);
  }
  SECTION("optional fields may be null") {
    Json::Value document = ParseJson(kDocument);
    document["services"][1]["engine"] = Json::Value();
    CHECK(code(DumpJson(document)) == ResultCode::kOk);
  }
  SECTION("a stated split or service that names no target") {
    const auto route = [&code](const char* aTargets) {
      Json::Value document = ParseJson(kDocument);
      Json::Value& first = document["routes"][0];
      first.removeMember("service");
      first.removeMember("split");
      const Json::Value targets = ParseJson(aTargets);
      for (const std::string& name : targets.getMemberNames()) {
        first[name] = targets[name];
      }
      return code(DumpJson(document));
    };
    CHECK(route(R"({"service":"a"})") == ResultCode::kOk);
    CHECK(route(R"({"service":"a","split":null})") == ResultCode::kOk);
    CHECK(route(R"({"service":"a","split":[]})") ==
          ResultCode::kBadConfiguration);
    CHECK(route(R"({"service":"","split":[{"service":"a","weight":1}]})") ==
          ResultCode::kBadConfiguration);
    CHECK(route(R"({"split":[{"service":"a","weight":null},
                             {"service":"b","weight":1}]})") ==
          ResultCode::kBadField);
  }
  SECTION("text that other readers refuse") {
    CHECK(
        code("{\"version\":7,\"routes\":[],\"services\":[],\"x\":\"\xff\"}") ==
        ResultCode::kMalformedJson);
    CHECK(code(R"({"version":07,"routes":[],"services":[]})") ==
          ResultCode::kMalformedJson);
  }
}

/// Guards against a stated time of nothing taken for one that is not stated:
/// the request was sent with all of the route's time.
Test(platform, a_stated_deadline_is_never_none) {
  const auto deadline = [](const char* aText) {
    RequestHead head = Head();
    for (HttpHeader& header : head.mHeaders) {
      if (header.mName == "Spindleweir-Deadline-Ms") {
        header.mValue = aText;
      }
    }
    return CallerHeaders().mReadRequest(head).mDeadline;
  };
  CHECK(deadline("0") == 1);
  CHECK(deadline("-3") == 1);
  CHECK(deadline("0.5") == 1);
  CHECK(deadline("1500.5") == 1500);
  CHECK(deadline("4000") == 4000);
  CHECK(deadline("1e9") == 0);
  CHECK(deadline("99999999999999999999") == 24 * 3600 * 1000);
  CHECK(deadline("soon") == 0);
}

/// Guards against a key that is refused for the way its scheme is written.
Test(platform, the_scheme_of_a_key_is_in_any_case) {
  const auto key = [](const char* aText) {
    RequestHead head = Head();
    for (HttpHeader& header : head.mHeaders) {
      if (header.mName == "Authorization") {
        header.mValue = aText;
      }
    }
    return CallerHeaders().mReadRequest(head).mKey;
  };
  CHECK(key("Bearer k") == "k");
  CHECK(key("bearer k") == "k");
  CHECK(key("BEARER   k") == "k");
  for (const char* none :
       {"", "Bearer", "Bearer ", "Basic k", "Bearerk", "k"}) {
    CHECK(key(none).empty());
  }
}

/// Guards against headers that the protocol needs, dropped since a Connection
/// header lists them: the request was refused by each upstream for its missing
/// id, and an answer came without its seal.
Test(platform, a_connection_header_takes_no_needed_header_away) {
  const CallerProtocol protocol = CallerHeaders();
  RequestHead head = Head();
  head.mHeaders.push_back(
      {"Connection", "Spindleweir-Request-Id, host, X-Other"});
  const HttpHeaders sent = protocol.mWriteRequest(head, {.mInstance = "i-1"});
  CHECK(ValueOf(sent, "Spindleweir-Request-Id") == "9c41");
  CHECK(ValueOf(sent, "Host") != "(none)");
  CHECK(ValueOf(sent, "X-Other") == "(none)");
  const HttpHeaders answer = protocol.mWriteAnswer(
      {.mStatus = 200,
       .mHeaders = {{"Connection", "Spindleweir-Response-Seal, X-Other"},
                    {"Spindleweir-Response-Seal", "s"},
                    {"X-Other", "1"}}});
  CHECK(ValueOf(answer, "Spindleweir-Response-Seal") == "s");
  CHECK(ValueOf(answer, "X-Other") == "(none)");
}

Test(platform, headers_of_requests_and_answers) {
  const CallerProtocol protocol = CallerHeaders();
  const RequestFacts facts = protocol.mReadRequest(Head());
  CHECK(facts.mId == "9c41" && facts.mKey == "k" && facts.mDeadline == 4000);
  CHECK(facts.mPromptTokens == 1460 && facts.mMaxTokens == 80);
  CHECK(facts.mExpectedTokens == 60 && facts.mLastEvent == 12);
  SECTION("all parts of the prompt but the last may be shared") {
    CHECK(facts.mSharedParts ==
          std::vector<std::string>({"5C1e07a2", "91bd3f06"}));
  }
  SECTION("the key stays here, the workspace is ours, the rest goes along") {
    const LayerPath path = {{"i-1", "10.1.0.1:80", {0, 20}},
                            {"i-2", "10.1.0.2:80", {20, 80}}};
    const HttpHeaders sent = protocol.mWriteRequest(Head(), {.mRemaining = 3500,
                                                             .mInstance = "i-1",
                                                             .mWorkspace = "t",
                                                             .mPath = &path,
                                                             .mLastEvent = 15});
    CHECK(ValueOf(sent, "Authorization") == "(none)");
    CHECK(ValueOf(sent, "Connection") == "(none)");
    CHECK(ValueOf(sent, "Spindleweir-Tenant") == "t");
    CHECK(CountHeader(sent, "Spindleweir-Tenant") == 1);
    CHECK(ValueOf(sent, "Spindleweir-Deadline-Ms") == "3500");
    CHECK(ValueOf(sent, "Last-Event-Id") == "15");
    CHECK(ValueOf(sent, "Path") == "10.1.0.1:80=0-20,10.1.0.2:80=20-80");
    CHECK(ValueOf(sent, "X-Other") == "stays");
  }
  SECTION("what ran and what did not") {
    const auto ran = [&](const AnswerHead& aHead) {
      return protocol.mReadAnswer(aHead, facts).mRan;
    };
    CHECK(ran({.mStatus = 200}) == Ran::kYes);
    CHECK(ran({.mStatus = 503}) == Ran::kYes);
    CHECK(ran({.mStatus = 421}) == Ran::kNo);
    CHECK(ran({.mStatus = 503,
               .mHeaders = {{"Spindleweir-Not-Executed", "1"}}}) == Ran::kNo);
    CHECK(!protocol
               .mReadAnswer({.mStatus = 200,
                             .mHeaders = {{"Spindleweir-Request-Id", "other"}}},
                            facts)
               .mOurs);
  }
  SECTION("limits that upstreams name") {
    const auto limit = [&](const char* aText) {
      return protocol
          .mReadAnswer({.mStatus = 200, .mHeaders = {{"Server-Limit", aText}}},
                       facts)
          .mLimit;
    };
    CHECK(protocol.mReadAnswer({.mStatus = 200}, facts).mLimit ==
          LimitNotice());
    CHECK(limit("2.2") == (LimitNotice{.mPerSecond = 2.2}));
    CHECK(limit("0") == (LimitNotice{.mPerSecond = 0}));
    for (const char* text : {"", "-1", "nan", "inf", "2,2", "2 a second"}) {
      CHECK(limit(text) == (LimitNotice{.mClear = false}));
    }
  }
  SECTION("how long an upstream that turned a request away wants nothing") {
    const auto rest = [&](int aStatus, const char* aText) {
      return protocol
          .mReadAnswer(
              {.mStatus = aStatus, .mHeaders = {{"Retry-After", aText}}}, facts)
          .mBackoff;
    };
    CHECK(rest(503, "3") == 3000);
    CHECK(rest(503, "0.2504") == 251);
    CHECK(rest(503, "1e9") == 0);
    CHECK(rest(503, "99999999") == 3600000);
    CHECK(rest(503, "Thu, 03 Dec 2026 11:00:00 GMT") == 0);
    CHECK(rest(503, "-1") == 0);
    CHECK(rest(200, "3") == 0);
  }
  SECTION("that it leaves") {
    const auto leaves = [&](const char* aText) {
      return protocol
          .mReadAnswer(
              {.mStatus = 200, .mHeaders = {{"Server-Leaving", aText}}}, facts)
          .mLeaves;
    };
    CHECK(!protocol.mReadAnswer({.mStatus = 200}, facts).mLeaves);
    CHECK(leaves("1"));
    CHECK(!leaves("0"));
  }
  SECTION("bad heads are refused with a number") {
    RequestHead none = Head();
    none.mHeaders.erase(none.mHeaders.begin() + 1);
    CHECK(CodeThrownBy([&] { protocol.mReadRequest(none); }) ==
          ResultCode::kBadHeader);
    RequestHead twice = Head();
    twice.mHeaders.push_back({"spindleweir-deadline-ms", "1"});
    CHECK(CodeThrownBy([&] { protocol.mReadRequest(twice); }) ==
          ResultCode::kBadHeader);
  }
  SECTION("when to come back is told in seconds") {
    CHECK(ValueOf(protocol.mWriteRefusal("9c41", 250), "Retry-After") ==
          "0.250");
    CHECK(ValueOf(protocol.mWriteRefusal("9c41", -1), "Retry-After") ==
          "(none)");
  }
}

Test(platform, heartbeats) {
  const UpstreamRecord record = ReadHeartbeat(
      "i-1",
      R"({"service":"lm","address":"10.128.0.9:8080","zone":"z","version":"v1",
      "slots":192,"state":"draining","coldLeftMs":0,"kind":"a100","seq":4,
      "layers":{"from":8,"targetVersion":31,"version":1}})");
  CHECK(record.mState == UpstreamState::kLeaving && record.mSequence == 4);
  CHECK(record.mLayers == (LayerRange{8, 31}));
  CHECK(CodeThrownBy([] { ReadHeartbeat("i", "{"); }) ==
        ResultCode::kMalformedJson);
  CHECK(CodeThrownBy([] { ReadHeartbeat("i", "{}"); }) ==
        ResultCode::kBadField);
  CHECK(CodeThrownBy([] {
          ReadHeartbeat("i", R"({"service":"s","address":"10.0.0.1:1",
            "zone":"z","state":"odd","seq":1})");
        }) == ResultCode::kBadHeartbeat);
  CHECK(CodeThrownBy([] { ReadHeartbeat("", "{}"); }) ==
        ResultCode::kBadHeartbeat);
}

Test(platform, word_of_another_writer_names_nobody) {
  const Json::Value good = ParseJson(
      R"({"service":"lm","address":"10.128.0.9:8080","zone":"z","slots":192,
      "state":"ready","seq":4,"born":1790000000000,
      "layers":{"from":8,"targetVersion":31,"version":1}})");
  const auto codeWith = [&good](const char* aField, const Json::Value& aValue) {
    Json::Value changed = good;
    changed[aField] = aValue;
    return CodeThrownBy([&] { ReadHeartbeat("i", DumpJson(changed)); });
  };
  const auto refused = [&codeWith](const char* aField,
                                   const Json::Value& aValue) {
    const ResultCode code = codeWith(aField, aValue);
    return code == ResultCode::kBadField || code == ResultCode::kBadHeartbeat;
  };
  CHECK(ReadHeartbeat("i", DumpJson(good)).mStart == 1790000000000);
  SECTION("fields missing") {
    for (const char* field : {"service", "address", "zone", "state", "seq"}) {
      Json::Value changed = good;
      changed.removeMember(field);
      CHECK(CodeThrownBy([&] { ReadHeartbeat("i", DumpJson(changed)); }) ==
            ResultCode::kBadField);
      CHECK(refused(field, Json::Value()));
      CHECK(refused(field, Json::Value(Json::arrayValue)));
    }
  }
  SECTION("numbers that are none, or out of range") {
    for (const char* field : {"seq", "born", "slots"}) {
      CHECK(refused(field, -1));
      CHECK(refused(field, 1.5));
      CHECK(refused(field, "4"));
      CHECK(refused(field, true));
      CHECK(refused(field, 1e30));
    }
  }
  SECTION("layers") {
    const auto layers = [](const Json::Value& aFrom, const Json::Value& aTo) {
      Json::Value item(Json::objectValue);
      item["from"] = aFrom;
      item["targetVersion"] = aTo;
      return item;
    };
    CHECK(refused("layers", layers(-1, 8)));
    CHECK(refused("layers", layers(8, 8)));
    CHECK(refused("layers", layers(9, 8)));
    CHECK(refused("layers", layers("0", 8)));
    CHECK(refused("layers", "all"));
    CHECK(codeWith("layers", Json::Value()) == ResultCode::kOk);
    CHECK(codeWith("layers", layers(0, 0)) == ResultCode::kOk);
  }
  SECTION("addresses, names and states") {
    for (const char* address :
         {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", "ten:80",
          "10.0.0:80", "10.0.0.1:80 "}) {
      CHECK(refused("address", address));
    }
    CHECK(refused("service", ""));
    CHECK(refused("zone", "a\nb"));
    CHECK(refused("state", "gone"));
    CHECK(CodeThrownBy([&] { ReadHeartbeat("a b", DumpJson(good)); }) ==
          ResultCode::kBadHeartbeat);
  }
  SECTION("bytes that cannot be read") {
    CHECK(CodeThrownBy([] { ReadHeartbeat("i", "\xff\xfe{"); }) ==
          ResultCode::kMalformedJson);
  }
}

Test(platform, a_leave_may_tell_its_start) {
  CHECK(ReadLeave("") == 0);
  CHECK(ReadLeave("{}") == 0);
  CHECK(ReadLeave(R"({"born":1790000000000})") == 1790000000000);
  CHECK(CodeThrownBy([] { ReadLeave("x"); }) == ResultCode::kMalformedJson);
  CHECK(CodeThrownBy([] { ReadLeave(R"({"born":"x"})"); }) ==
        ResultCode::kBadField);
}

Test(platform, orders_and_reports) {
  const EngineProtocol protocol = EngineMessages();
  const EngineMessage order = protocol.mWritePlace({.mInstance = "i-1",
                                                    .mLayers = {20, 31},
                                                    .mFence = 5,
                                                    .mExpectedOrders = 2});
  const Json::Value place = ParseJson(order.mBody);
  CHECK(place["op"] == "place" && place["from"] == 20);
  CHECK(place["targetVersion"] == 31 && place["fence"] == 5);
  CHECK(place["expectedRev"] == 2);
  const EngineState state = protocol.mReadState(
      R"({"busy":true,"seq":3,"layers":null,"kvUsed":5,"kvTotal":9,
      "stalled":[{"id":"r","address":"10.0.0.1:1"}]})");
  CHECK(state.mBusy && state.mOrders == 3 && state.mLayers.Count() == 0);
  CHECK(state.mStalled.size() == 1 && state.mStalled[0].mRequestId == "r");
  CHECK(protocol.mReadState(R"({"born":1790000000000})").mStart ==
        1790000000000);
  CHECK(CodeThrownBy([&] { protocol.mReadState("["); }) ==
        ResultCode::kMalformedJson);
}

// Guards against a message for a replica that has ended: the next one at its
// address must be able to tell that it isn't meant.
Test(platform, messages_to_engines_name_the_replica) {
  const EngineProtocol protocol = EngineMessages();
  const auto named = [](const EngineMessage& aMessage) {
    const std::string* id =
        FindHeader(aMessage.mHeaders, "Spindleweir-Expect-Instance");
    return id == nullptr ? std::string() : *id;
  };
  CHECK(named(protocol.mWritePlace({.mInstance = "i-1"})) == "i-1");
}

Test(platform, settings) {
  const std::string good = R"({"id":"n","zone":"z","address":"10.0.0.4",
    "listen":"10.0.0.4:80","ready":"10.0.0.4:81","control":"10.0.0.4:82",
    "inner_port":7000,"seeds":["10.0.0.1:82"],"data":"/d","first_start":true,
    "revoke_within_ms":5000})";
  const BootSettings settings = ParseBootSettings(good);
  CHECK(SeedsOf(settings) == (std::vector<Endpoint>{{"10.0.0.1", 7000}}));
  CHECK(RelayOptionsOf(settings).mLeaseLength == 4000);
  SECTION("without memory and descriptors nothing bounds them together") {
    CHECK(RelayOptionsOf(settings).mMemoryBytes == 0);
    CHECK(RelayOptionsOf(settings).mDescriptors == 0);
    BootSettings told = settings;
    told.mMemoryMb = 160;
    told.mDescriptors = 4100;
    CHECK(RelayOptionsOf(told).mMemoryBytes == 160 * 1000 * 1000);
    CHECK(RelayOptionsOf(told).mDescriptors == 3800);
  }
  // Guards against waits that stay as they are where a deployment states
  // others.
  SECTION("times and losses that the deployment states are in force") {
    BootSettings told = settings;
    told.mAckWithin = 6000;
    told.mRecoverSeconds = 15;
    told.mCatchUpSeconds = 6;
    told.mToleratedMachines = 2;
    told.mGraceSeconds = 10;
    CHECK(ControlOptionsOf(told).mCommitTimeout == 6000);
    CHECK(ControlOptionsOf(told).mCatchUp == 6000);
    CHECK(ControlOptionsOf(told).mTolerated == 2);
    CHECK(ControlOptionsOf(told).mStopTimeout < 10000);
    CHECK(RelayOptionsOf(told).mMaxPathWait < 15000);
    CHECK(RelayOptionsOf(told).mStopGrace == 10000);
  }
  CHECK(ControlOptionsOf(settings).mFirstStart);
  CHECK(CodeThrownBy([] { ParseBootSettings("{}"); }) == ResultCode::kBadField);
  CHECK(CodeThrownBy([] {
          ParseBootSettings(R"({"id":"n","zone":"z","address":"a",
            "inner_port":0,"seeds":[]})");
        }) == ResultCode::kBadSetting);
}
