/// The exception type of this project: a result code with a message.
#pragma once

#include <stdexcept>
#include <string>

#include "spindleweir/core/result_code.h"

namespace spindleweir {

/// Thrown for every error that has a result code.
class Error : public std::runtime_error {
 public:
  Error(ResultCode aCode, const std::string& aMessage)
      : std::runtime_error(aMessage), mCode(aCode) {}

  ResultCode Code() const { return mCode; }

 private:
  ResultCode mCode;
};

/// One line for a terminal: "error 5002 BadSetting: message".
std::string Describe(const Error& aError);

}  // namespace spindleweir
