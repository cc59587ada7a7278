#pragma once

#include "galenapulley/clients/client_limit.hpp"
#include "galenapulley/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenapulley
{

struct client_table_options
{
    std::size_t connections = 1024;
    std::size_t connections_per_address = 1024;
    /// Bytes of all responses that clients don't read.
    std::size_t unread_bytes = std::size_t{16} << 20;
    /// Time without progress after which an unread response is given up.
    msec unread_timeout = 8000;
};

/// Decides which connections of clients are kept. Not thread-safe.
class client_table
{
public:
    using connection_id = std::uint64_t;

    /// What a connection does; one that is replaced is idle or reads a head.
    enum class stage
    {
        idle,
        head,
        /// It uploads a body, or its request is served.
        busy
    };

    /// A connection to close, and why.
    struct closing
    {
        connection_id id = 0;
        client_limit cause = client_limit::connections;
    };

    /// Whether a new connection is accepted, and which one it replaces.
    struct admission
    {
        std::optional<client_limit> refused{};
        std::optional<closing> replaced{};
    };

    /// Heads that are incomplete for a shorter time are not replaced.
    static constexpr msec slow_head_after = 500;
    /// A client that has read something within this time is not closed for
    /// the bytes that it has yet to read.
    static constexpr msec reading_after = 500;

    explicit client_table(const client_table_options& options);

    /// Adds a connection if it is accepted. The replaced one is removed.
    admission open(connection_id id, const std::string& address, msec now);
    void close(connection_id id);
    void set_stage(connection_id id, stage value, msec now);
    /// Bytes of responses that the client has not acknowledged yet, and how
    /// many it has acknowledged so far.
    void set_unread(connection_id id, std::size_t bytes,
                    std::uint64_t acknowledged, msec now);
    /// Connections with unread bytes.
    std::vector<connection_id> unread() const;
    /// Removes and returns the connections to close for their unread bytes:
    /// those that make no progress for too long, and while there are too many
    /// bytes those that have made none for longest.
    std::vector<closing> take_stuck(msec now);

    std::size_t size() const { return rows_.size(); }
    std::size_t unread_bytes() const { return unread_bytes_; }

private:
    using order = std::set<std::pair<msec, connection_id>>;

    /// Connections that may be replaced, by the begin of their stage.
    struct waiting
    {
        order idle;
        order heads;
    };

    struct peer
    {
        std::size_t connections = 0;
        waiting replaceable;
    };

    struct row
    {
        std::string address;
        stage at = stage::idle;
        msec since = 0;
        std::size_t unread = 0;
        std::uint64_t acknowledged = 0;
        msec progress_at = 0;
    };

    /// Adds the row to the orders of its stage, or removes it.
    void link(connection_id id, const row& value);
    void unlink(connection_id id, const row& value);
    std::optional<closing> longest_waiting(const waiting& among,
                                           msec now) const;

    client_table_options options_;
    std::unordered_map<connection_id, row> rows_;
    std::unordered_map<std::string, peer> peers_;
    waiting replaceable_;
    /// Connections with unread bytes by their last progress.
    order stuck_;
    std::size_t unread_bytes_ = 0;
};

} // namespace galenapulley
