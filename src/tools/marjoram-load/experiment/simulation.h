#pragma once

#include "admissionmodel.h"
#include "enginemodel.h"
#include "trace.h"

#include <base/random.h>
#include <dispatch/dispatcher.h>
#include <dispatch/slotlendertable.h>

namespace Experiment {

/// What one run of one policy gave. Programs of flooding teams count only towards the load.
struct RunResult
{
    std::string policy;
    std::uint64_t seed = 0;
    std::vector<double> programSeconds;
    std::vector<double> toolSeconds;
    double prefixTokens = 0;
    double recomputedTokens = 0;
    double utilisation = 0;
    double worstShare = 0;
    /// Refusals for the rate, and those of them within the rate, as shares of the calls asked.
    double refusals = 0;
    double withinRateRefusals = 0;
    double worstExcess = 0;
    std::size_t abandonedPrograms = 0;
    std::size_t unfinishedPrograms = 0;
    double messagesPerSecond = 0;
};

/// One run: programs arrive, are admitted, ordered and served, on virtual time.
class Simulation
{
public:
    Simulation(const Scenario &scenario, const Policy &policy, std::uint64_t seed);
    RunResult run();

private:
    struct Program
    {
        const ProgramTrace *trace = nullptr;
        std::size_t next = 0;
        std::size_t dispatcher = 0;
        std::int64_t history = 0;
        std::int64_t attained = 0;
        Base::Instant issuedAt;
        int refusals = 0;
    };
    struct Shell
    {
        std::unique_ptr<Dispatch::Dispatcher> dispatcher;
        std::optional<Base::Instant> timer;
    };

    void createServers();
    void createDispatchers();
    void issue(std::size_t program);
    void enqueue(std::size_t program, std::uint64_t call);
    void callEnded(std::size_t program);
    void refused(std::size_t program);
    void abandon(std::size_t program);
    Job jobOf(std::size_t program, std::uint64_t call) const;
    void drain(std::size_t shell);
    void perform(std::size_t shell, const Dispatch::DispatchAction &action);
    void arm(std::size_t shell);
    void drainLenders();
    void armLenders();
    void submit(const Base::ServerId &server, const Job &job);
    void runJob(EngineModel &engine, const RunningJob &job);
    void jobEnded(EngineModel &engine, const RunningJob &job);
    void publishEvictions(EngineModel &engine);
    void report();
    void measureServed();
    double worstShare() const;
    RunResult result() const;
    bool isMeasured(const Program &program) const;

    const Scenario *scenario_;
    const Policy *policy_;
    std::uint64_t seed_;
    Base::Random random_;
    EventLoop loop_;
    Base::Duration oneWay_;
    std::vector<ProgramTrace> trace_;
    std::vector<Program> programs_;
    std::unordered_map<std::uint64_t, std::size_t> programOfCall_;
    std::uint64_t lastCall_ = 0;
    std::unordered_map<Base::ServerId, std::unique_ptr<EngineModel>> engines_;
    std::vector<Dispatch::ServerConfig> configs_;
    std::vector<Shell> shells_;
    Dispatch::SlotLenderTable lenders_;
    std::optional<Base::Instant> lenderTimer_;
    AdmissionModel admission_;
    std::vector<double> served_;
    double busySeconds_ = 0;
    std::size_t finished_ = 0;
    std::size_t slotMessages_ = 0;
    RunResult result_;
};

} // namespace Experiment
