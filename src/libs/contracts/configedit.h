#pragma once

#include "configuration.h"

#include <base/settingsreader.h>

#include <variant>
#include <vector>

/// Edits of the configuration by operators.
namespace Contracts {

struct AddTeam
{
    Team team;
};

struct RemoveTeam
{
    Base::TeamId team;
};

struct SetRate
{
    Base::TeamId team;
    double ratePerSecond = 0;
    double burst = 0;
};

struct SetBudget
{
    Base::TeamId team;
    Base::Tokens budget;
};

struct SetWeight
{
    Base::TeamId team;
    double weight = 1;
};

struct AddKey
{
    Base::TeamId team;
    Key key;
};

struct WithdrawKey
{
    Base::KeyId key;
};

/// Adds the service or replaces the one of the same id.
struct PutService
{
    Service service;
};

struct RemoveService
{
    Base::ServiceId service;
};

/// Adds the server or replaces the one of the same id.
struct PutServer
{
    BackendServer server;
};

struct RemoveServer
{
    Base::ServerId server;
};

struct SetServerLeaving
{
    Base::ServerId server;
    bool isLeaving = true;
};

/// Closes the zone for new work, or opens it. No error if it is so already.
struct SetZoneClosed
{
    Base::ZoneId zone;
    bool isClosed = true;
};

/// Replaces the whole configuration; the version of the given document is ignored.
struct ReplaceConfiguration
{
    ConfigurationDocument document;
};

using ConfigEdit = std::variant<AddTeam,
                                RemoveTeam,
                                SetRate,
                                SetBudget,
                                SetWeight,
                                AddKey,
                                WithdrawKey,
                                PutService,
                                RemoveService,
                                PutServer,
                                RemoveServer,
                                SetServerLeaving,
                                SetZoneClosed,
                                ReplaceConfiguration>;

/// The edited document, or the problems that make the edit invalid.
struct EditedConfiguration
{
    ConfigurationDocument document;
    std::vector<Base::SettingsProblem> problems;

    bool isValid() const { return problems.empty(); }
};

/// Applies the edit to a copy of the document and increments its version.
EditedConfiguration applyEdit(const ConfigurationDocument &document, const ConfigEdit &edit);

} // namespace Contracts
