/// Reads the stream of an engine: one token frame per line.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/servers/routing/token_filter.h"

namespace spindleweir {

/// Splits a byte stream into lines and parses each line as a frame.
class FrameReader {
 public:
  explicit FrameReader(std::function<void(const TokenFrame&)> aOnFrame)
      : mOnFrame(std::move(aOnFrame)) {}

  void Append(std::string_view aBytes) {
    mIncompleteLine += aBytes;
    std::size_t begin = 0;
    std::vector<TokenFrame> frames;
    for (std::size_t end = mIncompleteLine.find('\n'); end != std::string::npos;
         end = mIncompleteLine.find('\n', begin)) {
      frames.push_back(ParseFrame(
          std::string_view(mIncompleteLine).substr(begin, end - begin)));
      begin = end + 1;
    }
    mIncompleteLine.erase(0, begin);
    if (mIncompleteLine.size() > kMaxLineBytes) {
      mIncompleteLine.clear();
      frames.push_back(ErrorFrame("line exceeds 64 KiB"));
    }
    // The receiver may destroy the call and with it this reader.
    const std::function<void(const TokenFrame&)> receiver = mOnFrame;
    for (const TokenFrame& frame : frames) {
      receiver(frame);
    }
  }

 private:
  /// A longer incomplete line is reported as an error frame.
  static constexpr std::size_t kMaxLineBytes = 64 * 1024;

  static TokenFrame ErrorFrame(const std::string& aWhy) {
    TokenFrame frame;
    frame.mError = aWhy;
    return frame;
  }

  static TokenFrame ParseFrame(std::string_view aLine) {
    try {
      return FromJson<TokenFrame>(ParseJson(aLine));
    } catch (const Error& error) {
      return ErrorFrame(error.what());
    }
  }

  std::function<void(const TokenFrame&)> mOnFrame;
  std::string mIncompleteLine;
};

}  // namespace spindleweir
