#pragma once

#include "receivedrequest.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Fakes {

enum class ToolFault {
    None,
    /// Executes nothing and never answers.
    Hang,
    /// Executes, and answers after the delay.
    Slow,
    /// Executes, then closes the connection without an answer.
    DieAfterDoing,
    /// Answers 500 and executes nothing.
    FailBeforeDoing
};

/// One execution of a request with effect.
struct LedgerEntry
{
    std::string path;
    std::string body;
    std::string requestId;
};

/// Stand-in for a tool service: a GET is a lookup, every other method has an effect, which is
/// noted in the ledger.
class ToolFake
{
public:
    ToolFake();
    ~ToolFake();

    void start(std::uint16_t port = 0, const std::string &address = "127.0.0.1");
    std::uint16_t port() const;
    std::string url() const;
    void stop();

    /// The next count requests meet the fault; -1 means all.
    void inject(ToolFault fault, int delayMs = 0, int count = -1);
    std::vector<LedgerEntry> ledger() const;
    std::vector<ReceivedRequest> received() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace Fakes
