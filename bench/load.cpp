#include "bench/load.h"

#include <algorithm>
#include <chrono>

#include "standins/expected_answer.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr std::string_view kContent = "\"content\":\"";
constexpr Millis kCallTimeout = 60000;

double NowMillis() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// One caller's request under way.
struct OpenCall {
  std::unique_ptr<HttpCall> mCall;
  std::string mPrompt;
  std::string mRest;  ///< Bytes after the last whole event.
  std::string mText;
  int mTokens = 0;
  double mStarted = 0;
  double mLastToken = 0;
  bool mEnded = false;  ///< [DONE] came.
};

class Load {
 public:
  explicit Load(const LoadOptions& aOptions)
      : mOptions(aOptions), mClient(mLoop), mBegin(NowMillis()) {}

  LoadResult Run() {
    std::vector<std::unique_ptr<Timer>> timers;
    for (const LoadOptions::Act& act : mOptions.mActs) {
      timers.push_back(mLoop.After(act.mAt, act.mDo));
    }
    timers.push_back(mLoop.After(mOptions.mWarmup + mOptions.mLength,
                                 [this] { mLoop.Stop(); }));
    std::unique_ptr<Timer> pace;
    if (mOptions.mRate > 0) {
      pace = mLoop.Every(2, [this] { StartDue(); });
    } else {
      for (int i = 0; i < mOptions.mConcurrent; i++) {
        Start();
      }
    }
    mLoop.Run();
    mCalls.clear();
    mResult.mTokensPerSecond =
        mResult.mTokens * 1000.0 / static_cast<double>(mOptions.mLength);
    return std::move(mResult);
  }

 private:
  bool Measured() const {
    return NowMillis() - mBegin >= static_cast<double>(mOptions.mWarmup);
  }

  void StartDue() {
    const double due = (NowMillis() - mBegin) * mOptions.mRate / 1000;
    while (mStarted < due) {
      Start();
    }
  }

  void Start() {
    const auto n = static_cast<std::size_t>(mStarted++);
    auto call = std::make_shared<OpenCall>();
    call->mPrompt = "write-up " + std::to_string(n);
    call->mStarted = NowMillis();
    HttpCallOptions options;
    options.mServer = mOptions.mServers[n % mOptions.mServers.size()];
    options.mMethod = "POST";
    options.mPath = mOptions.mPath;
    options.mBody = "{\"model\":\"quill\",\"stream\":true,\"max_tokens\":" +
                    std::to_string(mOptions.mTokens) +
                    ",\"messages\":[{\"role\":\"user\",\"content\":\"" +
                    call->mPrompt + "\"}]}";
    options.mHeaders = {
        {"Authorization",
         "Bearer " + mOptions.mKeys[n % mOptions.mKeys.size()]}};
    if (mOptions.mDeadline > 0) {
      options.mHeaders.push_back(
          {"X-Deadline-Ms", std::to_string(mOptions.mDeadline)});
    }
    options.mTimeout = kCallTimeout;
    // The call owns these hooks and is owned by the record: they must not own
    // it in turn, or its connection would outlive the load.
    OpenCall* open = call.get();
    options.mOnData = [this, open](std::string_view aBytes) {
      Take(*open, aBytes);
    };
    options.mOnDone = [this, open, n](const HttpResult& aResult) {
      Done(*open, aResult);
      mLoop.Post([this, n] {
        mCalls.erase(n);
        if (mOptions.mRate <= 0) {
          Start();
        }
      });
    };
    mCalls[n] = call;
    call->mCall = mClient.Start(std::move(options));
  }

  void Take(OpenCall& aCall, std::string_view aBytes) {
    aCall.mRest += aBytes;
    std::size_t begin = 0;
    for (std::size_t end = aCall.mRest.find("\n\n"); end != std::string::npos;
         end = aCall.mRest.find("\n\n", begin)) {
      Event(aCall, std::string_view(aCall.mRest).substr(begin, end - begin));
      begin = end + 2;
    }
    aCall.mRest.erase(0, begin);
  }

  void Event(OpenCall& aCall, std::string_view aEvent) {
    if (aEvent == "data: [DONE]") {
      aCall.mEnded = true;
      return;
    }
    const std::size_t at = aEvent.find(kContent);
    if (at == std::string_view::npos) {
      return;
    }
    const std::size_t from = at + kContent.size();
    aCall.mText += aEvent.substr(from, aEvent.find('"', from) - from);
    const double now = NowMillis();
    if (Measured()) {
      mResult.mTokens++;
      if (aCall.mTokens == 0) {
        mResult.mFirstTokenMillis.push_back(now - aCall.mStarted);
      } else {
        mResult.mGapMillis.push_back(now - aCall.mLastToken);
      }
    }
    const auto bucket = static_cast<std::size_t>(
        (now - mBegin) / static_cast<double>(kBucketMillis));
    mResult.mBuckets.resize(std::max(mResult.mBuckets.size(), bucket + 1));
    mResult.mBuckets[bucket]++;
    aCall.mTokens++;
    aCall.mLastToken = now;
  }

  void Done(const OpenCall& aCall, const HttpResult& aResult) {
    if (aResult.mComplete && aResult.mStatus != kHttpOk) {
      const bool notRun =
          aResult.mBody.find("\"ran\":\"no\"") != std::string::npos;
      (notRun ? mResult.mRefused : mResult.mLost)++;
      return;
    }
    const std::string expected = ExpectedAnswer(
        "user: " + aCall.mPrompt + "\n", mOptions.mLayers, mOptions.mTokens);
    const bool whole = aCall.mEnded && aCall.mText == expected;
    mResult.mGood += whole ? 1 : 0;
    mResult.mLost += whole ? 0 : 1;
    if (!expected.starts_with(aCall.mText)) {
      const bool more = aCall.mTokens > mOptions.mTokens;
      (more ? mResult.mDoubled : mResult.mCrossed)++;
    }
  }

  const LoadOptions& mOptions;
  EventLoop mLoop;
  HttpClient mClient;
  double mBegin;
  std::int64_t mStarted = 0;
  std::map<std::size_t, std::shared_ptr<OpenCall>> mCalls;
  LoadResult mResult;
};

}  // namespace

LoadResult RunLoad(const LoadOptions& aOptions) {
  Load load(aOptions);
  return load.Run();
}

}  // namespace spindleweir
