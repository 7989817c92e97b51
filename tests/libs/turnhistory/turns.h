#pragma once

#include <turnhistory/turn.h>

/// A turn of the team "club" that was ended at the start of 1970 and is kept for a minute.
inline TurnHistory::Turn makeTurn(const std::string &id,
                                  const std::string &previous = {},
                                  const std::string &placementKey = "program")
{
    TurnHistory::Turn turn;
    turn.id = TurnHistory::TurnId(id);
    turn.previous = TurnHistory::TurnId(previous);
    turn.team = Base::TeamId("club");
    turn.placementKey = placementKey;
    turn.retention = std::chrono::seconds(60);
    turn.content = "input of " + id + "output\n";
    return turn;
}
