#include "witnesschoice.h"

#include <base/random.h>

#include <algorithm>
#include <tuple>

namespace Ownership {

namespace {

using Daemons = std::vector<Fleet::Daemon>;

bool contains(const std::vector<Base::IncarnationId> &incarnations, const Fleet::Daemon &daemon)
{
    return std::ranges::find(incarnations, daemon.incarnation) != incarnations.end();
}

/// Eligible daemons and current witnesses, current witnesses first, then by rendezvous hash.
Daemons orderedOptions(const Fleet::Daemon &self,
                       const std::vector<WitnessOption> &options,
                       const std::vector<Base::IncarnationId> &current)
{
    Daemons ordered;
    for (const WitnessOption &option : options) {
        if (option.isEligible || contains(current, option.daemon)) {
            ordered.push_back(option.daemon);
        }
    }
    std::ranges::sort(ordered, {}, [&](const Fleet::Daemon &daemon) {
        const std::string pair = self.incarnation.text() + '/' + daemon.incarnation.text();
        return std::tuple(!contains(current, daemon), Base::hash64(pair));
    });
    return ordered;
}

} // namespace

std::vector<Base::IncarnationId> chooseWitnesses(const Fleet::Daemon &self,
                                                 const std::vector<WitnessOption> &options,
                                                 const std::vector<Base::IncarnationId> &current)
{
    const Daemons ordered = orderedOptions(self, options, current);
    Daemons inOtherZones;
    std::ranges::copy_if(ordered,
                         std::back_inserter(inOtherZones),
                         [&](const Fleet::Daemon &daemon) { return daemon.zone != self.zone; });
    const Daemons &usable = inOtherZones.empty() ? ordered : inOtherZones;
    if (usable.size() < 2) {
        return {};
    }
    const Fleet::Daemon &first = usable.front();
    const auto inAnotherZone
        = std::find_if(usable.begin() + 1, usable.end(), [&](const Fleet::Daemon &daemon) {
              return daemon.zone != first.zone;
          });
    const Fleet::Daemon &second = inAnotherZone == usable.end() ? usable[1] : *inAnotherZone;
    return {first.incarnation, second.incarnation};
}

} // namespace Ownership
