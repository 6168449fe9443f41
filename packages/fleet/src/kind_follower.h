/// @file
/// Follows one kind of the platform's documents: lists once, then watches, and lists again when the history is gone.
#pragma once

#include <pollenspoke/fleet.h>

namespace Pollenspoke {

/// What a follower reports, on the event loop that it runs on.
struct FollowHandler
{
    std::function<void(const DocumentList &)> onList;                 // replaces all that was known
    std::function<void(const DocumentChange &)> onChange;             //
    std::function<void()> onChanged;                                  // after a list, and after the changes that came together
    std::function<void(const Error &)> onLost = [](const Error &) {}; // a call failed
    std::function<void()> onHeard = [] {};                            // a call was answered, before its changes are reported
};

struct FollowOptions
{
    std::string kind;
    ListAge firstList = ListAge::MayBeOld;
    Duration watchWait = std::chrono::seconds(25);
    Duration watchPause = std::chrono::milliseconds(250);
    Duration firstPause = std::chrono::milliseconds(150); // after a failed call; doubles with each
    Duration longestPause = std::chrono::milliseconds(900);
};

/// Runs until it is cancelled. The store and the handler must outlive it.
boost::asio::awaitable<void> followKind(DocumentStore &store, FollowOptions options, const FollowHandler &handler);

} // namespace Pollenspoke
