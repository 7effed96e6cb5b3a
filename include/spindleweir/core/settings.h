/// Settings from flags and SPINDLEWEIR_ environment variables, with gflags.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace spindleweir {

/// An IP address and port.
struct Endpoint {
  std::string mHost;
  int mPort = 0;

  bool operator==(const Endpoint&) const = default;
  /// "host:port".
  std::string Text() const;
};

/// Parses "host:port". Throws kBadSetting, naming aSetting, if it is invalid.
Endpoint ParseEndpoint(std::string_view aText, std::string_view aSetting);

/// Splits at commas and omits empty parts.
std::vector<std::string> SplitList(std::string_view aText);

/// Throws kMissingSetting if aValue is empty.
void RequireSetting(std::string_view aValue, std::string_view aSetting);

/// Throws kBadSetting if aValue is outside [aMin, aMax].
void RequireRange(double aValue, double aMin, double aMax,
                  std::string_view aSetting);

/// Sets the gflags of the program from SPINDLEWEIR_NAME variables and from
/// flags, which take precedence. Returns the positional arguments. Throws
/// kUnknownSetting or kBadSetting, naming the flag or variable.
std::vector<std::string> LoadSettings(int aArgc, char** aArgv);

/// Runs a program's main function: prints usage for --help, calls aRun, and
/// reports an Error as one line on standard error with exit code 2.
int RunProgram(int aArgc, char** aArgv, const std::string& aUsage,
               const std::function<int(const std::vector<std::string>&)>& aRun);

}  // namespace spindleweir
