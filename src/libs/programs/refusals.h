#pragma once

#include "programlimits.h"

#include <base/error.h>

/// The errors that a ProgramTable gives to callers.
namespace Programs {

/// Also for programs of other teams, so that nobody learns which programs exist. The call may
/// have run in a program that was forgotten since.
Base::Error unknownProgram(Base::Ran ran);
Base::Error programEnded(Base::Ran ran);
Base::Error keyIsWithdrawn(Base::Ran ran);
Base::Error numberConflict(std::string message);
Base::Error malformed(std::string message);
Base::Error tooLarge(std::string message);
Base::Error overBudget(std::string message);
/// The condition passes; the caller may repeat the request.
Base::Error unavailable(Base::Step step, Base::Ran ran, std::string message, Base::Duration advice);
Base::Error callTimedOut(const Base::ServerId &server);
Base::Error callCancelled(const Base::ServerId &server);
Base::Error ownerLost(const Base::ServerId &server);
Base::Error answerTooLarge(const Base::ServerId &server);
Base::Error answerNotItsStream(const Base::ServerId &server);

} // namespace Programs
