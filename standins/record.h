/// The record format that stand-ins, bench and checker share: a JSON object a
/// line, with "wall_us", "who" and "what" and further fields by kind.
#pragma once

#include <json/value.h>

#include <fstream>
#include <string>

namespace spindleweir {

/// Writes records; does nothing where it was given no path.
class Record {
 public:
  Record(const std::string& aPath, std::string aWriter);
  void Write(const char* aEvent, Json::Value aFields);
  bool IsOpen() const { return mFile.is_open(); }

 private:
  std::string mWriter;
  std::ofstream mFile;
};

}  // namespace spindleweir
