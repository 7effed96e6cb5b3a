/// The record format shared by stand-ins, bench and checker: one JSON object
/// per line, with "wall_us", "who" (the writer), "what" (the event) and further
/// fields that depend on the event.
#pragma once

#include <json/value.h>

#include <fstream>
#include <string>

namespace spindleweir {

/// Appends records to a file; does nothing if the path is empty.
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
