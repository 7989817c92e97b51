#include "turns.h"

#include <turnhistory/turncache.h>

#include <criterion/criterion.h>

using namespace TurnHistory;

namespace {

Chain chainTo(const std::string &id)
{
    Chain chain;
    chain.next = TurnId(id);
    return chain;
}

} // namespace

Test(turncache, joinsChainsFromTheOldestTurnOn)
{
    TurnCache cache(100'000);
    cache.add(cachedTurn(makeTurn("a")));
    cache.add(cachedTurn(makeTurn("b", "a")));
    Chain chain = chainTo("b");
    cache.extend(chain);
    cr_assert(chain.isComplete());
    cr_assert_eq(chain.joined(), "input of aoutput\ninput of boutput\n");
    cr_assert_eq(chain.bytes(), chain.joined().size());
    cr_assert_eq(chain.team, Base::TeamId("club"));
}

Test(turncache, stopsAtTheFirstTurnThatIsNotCached)
{
    TurnCache cache(100'000);
    cache.add(cachedTurn(makeTurn("b", "a")));
    Chain chain = chainTo("b");
    cache.extend(chain);
    cr_assert(!chain.isComplete());
    cr_assert_eq(chain.next, TurnId("a"));
    cr_assert_eq(chain.contents.size(), 1);
}

Test(turncache, removesTheLeastRecentlyUsedTurn)
{
    TurnCache cache(3000);
    Turn turn = makeTurn("a");
    turn.content = std::string(1000, 'x');
    for (const char *id : {"a", "b"}) {
        turn.id = TurnId(id);
        cache.add(cachedTurn(turn));
    }
    Chain used = chainTo("a");
    cache.extend(used);
    turn.id = TurnId("c");
    cache.add(cachedTurn(turn));
    cr_assert_leq(cache.bytes(), 3000);
    for (const char *id : {"a", "c"}) {
        Chain chain = chainTo(id);
        cache.extend(chain);
        cr_assert(chain.isComplete(), "%s is cached", id);
    }
    Chain removed = chainTo("b");
    cache.extend(removed);
    cr_assert(!removed.isComplete());
}

Test(turncache, endsOnTurnsThatReferToEachOther)
{
    TurnCache cache(100'000);
    cache.add(cachedTurn(makeTurn("a", "b")));
    cache.add(cachedTurn(makeTurn("b", "a")));
    Chain chain = chainTo("a");
    cache.extend(chain);
    cr_assert(!chain.isComplete());
    cr_assert_leq(chain.contents.size(), maxChainTurns);
}
