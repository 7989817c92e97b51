#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <list>
#include <unordered_map>

namespace Admission {

/// Which programs can still finish in time to be of use to their callers. Known only for programs
/// whose first turn arrived at this daemon.
class ProgramDeadlines
{
public:
    struct Settings
    {
        /// Multiple of its objective after which a program is of no use.
        double usefulFactor = 2;
        std::size_t maxPrograms = 4096;
    };

    explicit ProgramDeadlines(Settings settings)
        : settings_(settings)
    {}

    /// The first turn of the program has arrived; the program should be finished after the
    /// objective.
    void programStarted(const Base::ProgramId &program,
                        Base::Duration objective,
                        Base::Instant now);
    /// Whether it is certain that the program ends too late.
    bool isTooLate(const Base::ProgramId &program, Base::Instant now) const;
    std::size_t size() const { return ends_.size(); }

private:
    Settings settings_;
    /// Oldest first.
    std::list<Base::ProgramId> order_;
    std::unordered_map<Base::ProgramId, Base::Instant> ends_;
};

} // namespace Admission
