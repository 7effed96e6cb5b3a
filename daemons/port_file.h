/// The file in which a process names the addresses that it listens on.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/event_loop.h"

namespace spindleweir {

/// A JSON object of addresses by name. A disk that does not accept the file
/// holds up nothing: writing is repeated until it succeeds.
class PortFile {
 public:
  /// aPath: empty: no file. Throws kDataUnwritable if its folder is missing or
  /// cannot be written.
  PortFile(EventLoop& aLoop, std::string aPath,
           const std::map<std::string, Endpoint>& aAddresses);

 private:
  /// False if the disk did not accept the file.
  bool Write() const;

  std::string mPath;
  std::string mText;
  std::unique_ptr<Timer> mTimer;  ///< Set until the file is written.
};

}  // namespace spindleweir
