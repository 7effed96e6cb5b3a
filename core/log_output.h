/// A bounded buffer of log lines in front of a file descriptor that may be slow
/// or blocked. Adding a line never blocks.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace spindleweir {

/// Buffers lines for one descriptor. Not thread-safe.
class LogOutput {
 public:
  /// aCapacity: maximum number of buffered bytes.
  LogOutput(int aFd, std::size_t aCapacity);

  /// Adds a line, given without its newline. Unimportant lines are dropped if
  /// half of the buffer is in use, all lines if it is full.
  void Add(std::string_view aLine, bool aImportant);
  /// Writes as much as possible without blocking.
  void Flush();
  /// Number of lines dropped so far.
  std::int64_t DroppedLines() const { return mDroppedLines; }
  std::size_t BufferedBytes() const { return mBytes; }

 private:
  bool Writable() const;
  void Push(std::string aLine);

  int mFd;
  std::size_t mCapacity;
  std::deque<std::string> mLines;
  std::size_t mBytes = 0;
  std::size_t mWritten = 0;  ///< Bytes of the first line already written.
  std::int64_t mDroppedLines = 0;
  std::int64_t mReportedDroppedLines = 0;
};

}  // namespace spindleweir
