#include "configedit.h"

#include "configurationcodec.h"

#include <base/visitor.h>

#include <algorithm>

namespace Contracts {

namespace {

/// Applies one edit to a copy of the document.
class EditApplier
{
public:
    explicit EditApplier(EditedConfiguration &edited)
        : document_(edited.document)
        , problems_(edited.problems)
    {}

    void operator()(const AddTeam &edit)
    {
        if (document_.findTeam(edit.team.id)) {
            addProblem(
                "/teams", "\"" + edit.team.id.text() + "\", which exists", "id of a new team");
            return;
        }
        document_.teams.push_back(edit.team);
    }

    void operator()(const RemoveTeam &edit)
    {
        if (requireTeam(edit.team)) {
            eraseById(document_.teams, edit.team);
        }
    }

    void operator()(const SetRate &edit)
    {
        if (Team *team = requireTeam(edit.team)) {
            team->ratePerSecond = edit.ratePerSecond;
            team->burst = edit.burst;
        }
    }

    void operator()(const SetBudget &edit)
    {
        if (Team *team = requireTeam(edit.team)) {
            team->budget = edit.budget;
        }
    }

    void operator()(const SetWeight &edit)
    {
        if (Team *team = requireTeam(edit.team)) {
            team->weight = edit.weight;
        }
    }

    void operator()(const AddKey &edit)
    {
        if (Team *team = requireTeam(edit.team)) {
            team->keys.push_back(edit.key);
        }
    }

    void operator()(const WithdrawKey &edit)
    {
        for (Team &team : document_.teams) {
            if (Key *key = findById(team.keys, edit.key)) {
                key->isWithdrawn = true;
                return;
            }
        }
        addProblem("/teams", "unknown key \"" + edit.key.text() + "\"", "id of an existing key");
    }

    void operator()(const PutService &edit) { addOrReplace(document_.services, edit.service); }

    void operator()(const RemoveService &edit)
    {
        if (!eraseById(document_.services, edit.service)) {
            addProblem("/services",
                       "unknown service \"" + edit.service.text() + "\"",
                       "id of an existing service");
        }
    }

    void operator()(const PutServer &edit) { addOrReplace(document_.servers, edit.server); }

    void operator()(const RemoveServer &edit)
    {
        if (!eraseById(document_.servers, edit.server)) {
            addProblem("/servers",
                       "unknown server \"" + edit.server.text() + "\"",
                       "id of an existing server");
        }
    }

    void operator()(const SetServerLeaving &edit)
    {
        if (BackendServer *server = findById(document_.servers, edit.server)) {
            server->isLeaving = edit.isLeaving;
            return;
        }
        addProblem("/servers",
                   "unknown server \"" + edit.server.text() + "\"",
                   "id of an existing server");
    }

    void operator()(const SetZoneClosed &edit)
    {
        std::erase(document_.closedZones, edit.zone);
        if (edit.isClosed) {
            document_.closedZones.push_back(edit.zone);
        }
    }

    void operator()(const ReplaceConfiguration &edit)
    {
        const std::vector<AcceptedChange> changes = std::move(document_.recentChanges);
        const std::vector<Team> teams = std::move(document_.teams);
        document_ = edit.document;
        document_.recentChanges = changes;
        rejectReactivatedKeys(teams);
    }

private:
    template<typename Item, typename Id>
    static Item *findById(std::vector<Item> &items, const Id &id)
    {
        const auto found = std::find_if(
            items.begin(), items.end(), [&id](const Item &item) { return item.id == id; });
        return found == items.end() ? nullptr : &*found;
    }

    template<typename Item, typename Id>
    static bool eraseById(std::vector<Item> &items, const Id &id)
    {
        return std::erase_if(items, [&id](const Item &item) { return item.id == id; }) > 0;
    }

    template<typename Item>
    static void addOrReplace(std::vector<Item> &items, const Item &item)
    {
        if (Item *known = findById(items, item.id)) {
            *known = item;
            return;
        }
        items.push_back(item);
    }

    Team *requireTeam(const Base::TeamId &id)
    {
        Team *team = findById(document_.teams, id);
        if (!team) {
            addProblem("/teams", "unknown team \"" + id.text() + "\"", "id of an existing team");
        }
        return team;
    }

    /// A withdrawn key must stay withdrawn: daemons cancel its calls, which cannot be undone.
    void rejectReactivatedKeys(const std::vector<Team> &before)
    {
        for (const Team &team : before) {
            for (const Key &key : team.keys) {
                if (key.isWithdrawn && isUsable(key.id)) {
                    addProblem("/teams",
                               "withdrawn key \"" + key.id.text() + "\" as valid",
                               "key with a new id");
                }
            }
        }
    }

    bool isUsable(const Base::KeyId &id) const
    {
        return std::ranges::any_of(document_.teams, [&id](const Team &team) {
            return std::ranges::any_of(
                team.keys, [&id](const Key &key) { return key.id == id && !key.isWithdrawn; });
        });
    }

    void addProblem(std::string path, std::string found, std::string expected)
    {
        problems_.push_back({std::move(path), std::move(found), std::move(expected)});
    }

    ConfigurationDocument &document_;
    std::vector<Base::SettingsProblem> &problems_;
};

} // namespace

EditedConfiguration applyEdit(const ConfigurationDocument &document, const ConfigEdit &edit)
{
    EditedConfiguration edited{document, {}};
    EditApplier applier(edited);
    std::visit([&applier](const auto &change) { applier(change); }, edit);
    edited.document.version = document.version.next();
    if (edited.isValid()) {
        edited.problems = check(edited.document);
    }
    return edited;
}

} // namespace Contracts
