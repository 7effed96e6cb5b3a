/// Settings from flags and SPINDLEWEIR_ environment variables, over gflags.
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

/// Reads "host:port"; throws kBadSetting naming aSetting.
Endpoint ParseEndpoint(std::string_view aText, std::string_view aSetting);

/// Splits at commas, dropping empty parts.
std::vector<std::string> SplitList(std::string_view aText);

/// Throws kMissingSetting where aValue is empty.
void RequireSetting(std::string_view aValue, std::string_view aSetting);

/// Throws kBadSetting where aValue is outside [aLeast, aMost].
void RequireRange(double aValue, double aLeast, double aMost,
                  std::string_view aSetting);

/// Sets the gflags of the program: SPINDLEWEIR_NAME variables first, then
/// flags, which go before them. Returns the arguments that are no flags.
/// Throws kUnknownSetting and kBadSetting naming the culprit.
std::vector<std::string> LoadSettings(int aArgc, char** aArgv);

/// What a program's main does: prints help for --help, runs aRun, and turns
/// an Error into one numbered line on standard error and exit code 2.
int RunProgram(int aArgc, char** aArgv, const std::string& aUsage,
               const std::function<int(const std::vector<std::string>&)>& aRun);

}  // namespace spindleweir
