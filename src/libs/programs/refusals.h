#pragma once

#include "programlimits.h"

#include <base/error.h>

/// Errors that a ProgramTable returns to callers.
namespace Programs {

/// Also used for programs of other teams, to not reveal which programs exist. The call may have
/// run in a program that has been evicted since.
Base::Error unknownProgram(Base::Ran ran);
Base::Error programEnded(Base::Ran ran);
Base::Error keyIsWithdrawn(Base::Ran ran);
Base::Error numberConflict(std::string message);
Base::Error malformed(std::string message);
Base::Error tooLarge(std::string message);
Base::Error overBudget(std::string message);
/// The reason is temporary; the caller may retry the request.
Base::Error unavailable(Base::Step step,
                        Base::Ran ran,
                        std::string message,
                        Base::Duration retryAfter);
Base::Error callTimedOut(const Base::ServerId &server);
Base::Error callCancelled(const Base::ServerId &server);
Base::Error ownerLost(const Base::ServerId &server);
Base::Error answerTooLarge(const Base::ServerId &server);
Base::Error answerContradictsStream(const Base::ServerId &server);

} // namespace Programs
