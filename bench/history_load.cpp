/// Callers and operators at random from a seed, against running processes;
/// what they see is recorded for the history checker.
#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "bench/commands.h"
#include "bench/history_checker.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/drivers/file_tools.h"
#include "spindleweir/drivers/http_client.h"
#include "standins/expected_answer.h"
#include "standins/record.h"

namespace spindleweir {

namespace {

constexpr Millis kCallerPeriod = 25;
constexpr Millis kOperatorPeriod = 150;
constexpr Millis kReadPeriod = 60;
constexpr Millis kLastWait = 20000;
constexpr int kResends = 4;
constexpr const char* kCallerKey = "history-key";
constexpr const char* kOperatorKey = "demo-operator-key";

std::int64_t WallMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// A process to talk to, from the file that the fault script keeps.
struct Target {
  std::string mName;
  std::string mKind;  ///< "router" or "control".
  Endpoint mAddress;
};

class HistoryLoad {
 public:
  explicit HistoryLoad(const HistoryOptions& aOptions)
      : mOptions(aOptions),
        mClient(mLoop),
        mRecord(aOptions.mRecord, "load"),
        mRandom(aOptions.mSeed) {}

  void Run() {
    const auto callers = mLoop.Every(kCallerPeriod, [this] { Caller(); });
    const auto operators = mLoop.Every(kOperatorPeriod, [this] { Operator(); });
    const auto reads = mLoop.Every(kReadPeriod, [this] { Read(); });
    const auto stop = mLoop.After(mOptions.mLength, [this] {
      mEnding = true;
      EndIfIdle();
    });
    const auto late =
        mLoop.After(mOptions.mLength + kLastWait, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

 private:
  int Pick(int aCount) {
    return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom);
  }

  /// One process of a kind at random; nullptr where there is none.
  const Target* PickTarget(const std::string& aKind) {
    const std::string text = ReadFile(mOptions.mTargets).value_or("");
    if (text != mTargetsText) {
      mTargetsText = text;
      mTargets.clear();
      std::istringstream in(text);
      Target target;
      std::string address;
      while (in >> target.mName >> target.mKind >> address) {
        target.mAddress = ParseEndpoint(address, "target");
        mTargets.push_back(target);
      }
    }
    std::vector<const Target*> matching;
    for (const Target& target : mTargets) {
      if (target.mKind == aKind) {
        matching.push_back(&target);
      }
    }
    return matching.empty() ? nullptr
                            : matching[static_cast<std::size_t>(
                                  Pick(static_cast<int>(matching.size())))];
  }

  void Begin(HttpCallOptions aOptions) {
    mOpen++;
    aOptions.mOnDone =
        [this, done = std::move(aOptions.mOnDone)](const HttpResult& aResult) {
          done(aResult);
          mOpen--;
          EndIfIdle();
        };
    mClient.StartDetached(std::move(aOptions));
  }

  void EndIfIdle() {
    if (mEnding && mOpen == 0) {
      mLoop.Stop();
    }
  }

  void Caller() {
    if (mEnding) {
      return;
    }
    if (Pick(3) == 0) {
      Pay("order-" + std::to_string(mNext++), kResends);
    } else {
      Chat();
    }
  }

  void Chat() {
    const Target* router = PickTarget("router");
    if (router == nullptr) {
      return;
    }
    const std::string prompt = "order " + std::to_string(mNext++);
    const int tokens = 1 + Pick(24);
    const auto stream = std::make_shared<std::string>();
    HttpCallOptions options;
    options.mServer = router->mAddress;
    options.mMethod = "POST";
    options.mPath = "/v1/chat/completions";
    options.mBody =
        "{\"model\":\"pembantu-lm\",\"stream\":true,"
        "\"max_tokens\":" +
        std::to_string(tokens) +
        ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
    options.mHeaders = {{"Authorization", std::string("Bearer ") + kCallerKey}};
    options.mTimeout = kLastWait;
    options.mNewConnection = !mOptions.mKeeps;
    options.mOnData = [stream](std::string_view aBytes) { *stream += aBytes; };
    options.mOnDone = [this, stream, prompt, tokens, name = router->mName,
                       begin = WallMicros()](const HttpResult& aResult) {
      Json::Value record = JudgeStream(*stream, prompt, tokens, aResult);
      record["router"] = name;
      record["begin_us"] = static_cast<Json::Int64>(begin);
      mRecord.Write("answer", record);
    };
    Begin(std::move(options));
  }

  Json::Value JudgeStream(const std::string& aStream,
                          const std::string& aPrompt, int aTokens,
                          const HttpResult& aResult) {
    Json::Value record(Json::objectValue);
    std::string text;
    std::string error = aResult.mBody;
    std::istringstream in(aStream);
    for (std::string line; std::getline(in, line);) {
      if (!line.starts_with("data: {")) {
        continue;
      }
      const Json::Value event = ParseJson(line.substr(6));
      if (event.isMember("error")) {
        error = line.substr(6);
      } else {
        record["request"] = event["id"];
        text += event["choices"][0]["delta"]["content"].asString();
      }
    }
    const std::string expected =
        ExpectedAnswer("user: " + aPrompt + "\n", mOptions.mLayers, aTokens);
    const bool ended = aStream.ends_with("data: [DONE]\n\n");
    record["matches"] = ended ? text == expected : expected.starts_with(text);
    record["tokens"] = aTokens;
    SetOutcome(record, ended, error, aResult);
    return record;
  }

  /// "whole", "error" with what it says, "refused" where nobody was reached,
  /// or "cut".
  static void SetOutcome(Json::Value& aRecord, bool aWhole,
                         const std::string& aError, const HttpResult& aResult) {
    aRecord["outcome"] = aWhole ? "whole" : "cut";
    if (!aResult.mComplete && !aResult.mSent) {
      aRecord["outcome"] = "refused";
      return;
    }
    if (aWhole || !aError.starts_with("{")) {
      return;
    }
    const Json::Value error = ParseJson(aError)["error"];
    aRecord["outcome"] = "error";
    aRecord["ran"] = error["ran"];
    aRecord["code"] = error["code"];
    if (error.isMember("request")) {
      aRecord["request"] = error["request"];
    }
  }

  void Pay(const std::string& aKey, int aResends) {
    const Target* router = PickTarget("router");
    if (router == nullptr) {
      return;
    }
    HttpCallOptions options;
    options.mServer = router->mAddress;
    options.mMethod = "POST";
    options.mPath = "/v1/services/kaunter-api/pay";
    options.mBody = "{\"order\":\"" + aKey + "\"}";
    options.mHeaders = {{"Authorization", std::string("Bearer ") + kCallerKey},
                        {"Idempotency-Key", aKey},
                        {"X-Deadline-Ms", "8000"}};
    options.mTimeout = kLastWait;
    options.mNewConnection = !mOptions.mKeeps;
    options.mOnDone = [this, aKey, aResends, name = router->mName,
                       begin = WallMicros()](const HttpResult& aResult) {
      Json::Value record(Json::objectValue);
      const bool whole = aResult.mComplete && aResult.mStatus == 200;
      SetOutcome(record, whole, aResult.mBody, aResult);
      record["key"] = aKey;
      record["router"] = name;
      record["begin_us"] = static_cast<Json::Int64>(begin);
      record["body"] = whole ? aResult.mBody : "";
      mRecord.Write("call", record);
      // Sent again after every failure, and now and then after a success.
      if (aResends > 0 && (!whole || Pick(4) == 0)) {
        Pay(aKey, aResends - 1);
      }
    };
    Begin(std::move(options));
  }

  /// Two operators race with drains, and resend what was not answered.
  void Operator() {
    if (mEnding) {
      return;
    }
    Json::Value body(Json::objectValue);
    body["command_id"] = "history-" + std::to_string(mNext++);
    body["drain"] = Pick(2) == 0;
    SendCommand("/v1/vms/" + mOptions.mDrainable + "/drain", DumpJson(body),
                kResends);
  }

  void SendCommand(const std::string& aPath, const std::string& aBody,
                   int aResends) {
    const Target* control = PickTarget("control");
    if (control == nullptr) {
      return;
    }
    HttpCallOptions options;
    options.mServer = control->mAddress;
    options.mMethod = "POST";
    options.mPath = aPath;
    options.mBody = aBody;
    options.mHeaders = {
        {"Authorization", std::string("Bearer ") + kOperatorKey}};
    options.mTimeout = 3000;
    options.mOnDone = [this, aPath, aBody,
                       aResends](const HttpResult& aResult) {
      if (aResult.mComplete && aResult.mStatus == 200) {
        Json::Value record(Json::objectValue);
        record["version"] = ParseJson(aResult.mBody)["version"];
        mRecord.Write("accepted", record);
      } else if (aResends > 0) {
        SendCommand(aPath, aBody, aResends - 1);
      }
    };
    Begin(std::move(options));
  }

  void Read() {
    if (mEnding) {
      return;
    }
    if (const Target* control = PickTarget("control")) {
      Get(*control, "/v1/configuration",
          [this](const HttpResult& aResult, std::int64_t aBegin) {
            const Json::Value body = ParseJson(aResult.mBody);
            Json::Value record(Json::objectValue);
            record["version"] = body["version"];
            record["hash"] = body["hash"];
            record["begin_us"] = static_cast<Json::Int64>(aBegin);
            mRecord.Write("read", record);
          });
    }
    if (const Target* router = PickTarget("router")) {
      Get(*router, "/metrics",
          [this, name = router->mName, address = router->mAddress.Text()](
              const HttpResult& aResult, std::int64_t) {
            const std::string wanted = "\nspindleweir_configuration_version ";
            const std::size_t at = aResult.mBody.find(wanted);
            if (at == std::string::npos) {
              return;
            }
            Json::Value record(Json::objectValue);
            record["router"] = name;
            record["incarnation"] = address;
            record["version"] = static_cast<Json::Int64>(
                std::stoll(aResult.mBody.substr(at + wanted.size())));
            mRecord.Write("in_force", record);
          });
    }
  }

  void Get(const Target& aTarget, const std::string& aPath,
           std::function<void(const HttpResult&, std::int64_t)> aDone) {
    HttpCallOptions options;
    options.mServer = aTarget.mAddress;
    options.mPath = aPath;
    options.mHeaders = {
        {"Authorization", std::string("Bearer ") + kOperatorKey}};
    options.mOnDone = [done = std::move(aDone),
                       begin = WallMicros()](const HttpResult& aResult) {
      if (aResult.mComplete && aResult.mStatus == 200) {
        done(aResult, begin);
      }
    };
    Begin(std::move(options));
  }

  HistoryOptions mOptions;
  EventLoop mLoop;
  HttpClient mClient;
  Record mRecord;
  std::mt19937 mRandom;
  std::string mTargetsText;
  std::vector<Target> mTargets;
  int mNext = 1;
  int mOpen = 0;
  bool mEnding = false;
};

}  // namespace

void RunHistoryLoad(const HistoryOptions& aOptions) {
  HistoryLoad load(aOptions);
  load.Run();
}

int CheckHistory(const std::vector<std::string>& aFiles, int aLayers) {
  HistoryChecker checker(aLayers);
  for (const std::string& file : aFiles) {
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
      try {
        checker.Add(ParseJson(line));
      } catch (const Error&) {
        // A process that was killed may leave half a line.
        continue;
      }
    }
  }
  const std::vector<std::string> violations = checker.Violations();
  std::cout << checker.Summary() << "\n";
  for (const std::string& line : violations) {
    std::cout << "VIOLATION " << line << "\n";
  }
  std::cout << violations.size() << " violations\n";
  return violations.empty() ? 0 : 1;
}

}  // namespace spindleweir
