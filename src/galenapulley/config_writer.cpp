#include "galenapulley/config_writer.hpp"

#include "galenapulley/config_change.hpp"
#include "galenapulley/error_kind.hpp"

#include <algorithm>
#include <optional>

namespace galenapulley
{

/// A change in progress. Callbacks hold it by a weak pointer: once it is
/// finished, or the writer is destroyed, late responses have no effect.
struct config_writer::pending_change
{
    std::shared_ptr<const config_change> change;
    std::string change_id;
    done_callback done;
    msec deadline = 0;
    msec backoff = 0;
    /// Time to read the rows again; empty while a call is in flight.
    std::optional<msec> next_retry;
    std::int64_t head_version = 0;
    /// Empty if the stored head does not list the documents.
    std::optional<head_record> head;
    /// A read that returns a lower version of the document is stale.
    std::int64_t min_version = 0;
    /// Version on which a commit with unknown outcome was conditioned.
    std::optional<std::int64_t> uncertain_version;
    /// Whether a commit is in flight.
    bool committing = false;
    std::string last_failure = "the table service did not respond";
};

config_writer::config_writer(table_service& table, const clock& time,
                             config_writer_options options)
    : table_(table), clock_(time), options_(options), random_(options.seed)
{
}

config_writer::~config_writer() = default;

void config_writer::execute(std::shared_ptr<const config_change> change,
                            std::string change_id, done_callback done)
{
    auto status = change->validate();
    if (status.ok() && change_id.empty())
        status = make_error(error_kind::bad_request, "the change id is empty");
    if (!status.ok())
    {
        done(status);
        return;
    }
    auto it = std::make_shared<pending_change>();
    it->change = std::move(change);
    it->change_id = std::move(change_id);
    it->done = std::move(done);
    it->deadline = clock_.now() + options_.timeout;
    it->backoff = options_.first_backoff;
    pending_.push_back(it);
    start(it);
}

void config_writer::tick()
{
    const auto now = clock_.now();
    const auto pending = pending_;
    for (const auto& it : pending)
    {
        if (now >= it->deadline)
            expire(it);
        else if (it->next_retry && now >= *it->next_retry)
            start(it);
    }
}

void config_writer::expire(const pending_change_ptr& it)
{
    if (it->committing || it->uncertain_version)
        finish(it, make_error(error_kind::outcome_unknown,
                              "the outcome of change " + it->change_id +
                                  " is not known; retry it with the same "
                                  "change id"));
    else
        finish(it, make_error(
                       error_kind::store_unavailable,
                       std::string(it->change->name()) + " " +
                           it->change->subject() +
                           " was not committed in time: " + it->last_failure));
}

msec config_writer::call_timeout(const pending_change& it) const
{
    return std::clamp<msec>(it.deadline - clock_.now(), 1,
                            options_.call_timeout);
}

void config_writer::start(const pending_change_ptr& it)
{
    it->next_retry.reset();
    // The head is read before the document: if the document changes between
    // the two reads, the commit fails because of the head's version.
    table_.read(
        std::string(config_head_row), call_timeout(*it),
        [this, weak = std::weak_ptr(it)](const absl::StatusOr<table_row>& row)
        {
            if (const auto held = weak.lock())
                on_head(held, row);
        });
}

void config_writer::on_head(const pending_change_ptr& it,
                            const absl::StatusOr<table_row>& row)
{
    if (!row.ok())
    {
        schedule_retry(it, "config_head could not be read");
        return;
    }
    it->head_version = row->version;
    it->head = decode_head(*row);
    table_.read(it->change->document_name(), call_timeout(*it),
                [this, weak = std::weak_ptr(it)](
                    const absl::StatusOr<table_row>& document)
                {
                    if (const auto held = weak.lock())
                        on_document(held, document);
                });
}

void config_writer::on_document(const pending_change_ptr& it,
                                const absl::StatusOr<table_row>& row)
{
    if (!row.ok() || row->version < it->min_version)
    {
        schedule_retry(it, row.ok() ? "a stale document was read"
                                    : "the document could not be read");
        return;
    }
    const auto previous = decode_row(*row);
    if (!previous.ok())
    {
        finish(it, previous.status());
        return;
    }
    const auto& current = previous->document;
    if (current.version != 0 && previous->contains_change(it->change_id))
    {
        finish(it, current);
        return;
    }
    it->min_version = current.version;
    // The commit was conditioned on an older version, so it can no longer take
    // effect; it has not taken effect before, or its change id would be listed.
    if (it->uncertain_version && current.version > *it->uncertain_version)
        it->uncertain_version.reset();
    auto body = it->change->apply(current);
    // An unchanged body is committed as well: only the commit proves that the
    // row was not stale.
    if (!body.ok())
        finish(it, body.status());
    else
        commit(it, *previous, *std::move(body));
}

void config_writer::commit(const pending_change_ptr& it,
                           const stored_document& previous, std::string body)
{
    const auto& name = previous.document.name;
    const std::string head(config_head_row);
    // A head without a list of documents stays without one: a list that starts
    // with this change would be incomplete and hide documents from readers.
    auto head_value = it->change_id;
    if (it->head)
    {
        auto record = *it->head;
        record.set_newest({.name = name, .change_id = it->change_id});
        head_value = encode_head(record);
    }
    const table_transaction transaction{
        .conditions = {{name, previous.document.version},
                       {head, it->head_version}},
        .writes = {{name, encode_row(previous, it->change_id, body)},
                   {head, head_value}}};
    it->committing = true;
    table_.commit(transaction, call_timeout(*it),
                  [this, weak = std::weak_ptr(it),
                   body = std::move(body)](const commit_result& result)
                  {
                      if (const auto held = weak.lock())
                          on_commit(held, body, result);
                  });
}

void config_writer::on_commit(const pending_change_ptr& it,
                              const std::string& body,
                              const commit_result& result)
{
    it->committing = false;
    const auto name = it->change->document_name();
    switch (result.state)
    {
    case commit_state::committed:
        if (const auto found = result.versions.find(name);
            found != result.versions.end())
        {
            finish(it, config_document{.name = name,
                                       .version = found->second,
                                       .change_id = it->change_id,
                                       .body = body});
            return;
        }
        // The response lacks the new version, so the row is read back.
        it->uncertain_version = it->min_version;
        break;
    case commit_state::conflict:
        if (result.conflict == name)
            ++it->min_version;
        schedule_retry(it, "another change was committed first");
        return;
    case commit_state::refused:
        schedule_retry(it, "the table service refused the commit");
        return;
    case commit_state::unknown:
        it->uncertain_version = it->min_version;
        break;
    }
    schedule_retry(it, "the response to the commit was lost");
}

void config_writer::schedule_retry(const pending_change_ptr& it,
                                   std::string_view reason)
{
    it->last_failure = reason;
    // Up to half of the delay is random, so that concurrent writers do not
    // retry in step.
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto spread = static_cast<msec>(
        (random_ >> 33U) % (static_cast<std::uint64_t>(it->backoff) / 2 + 1));
    it->next_retry = clock_.now() + it->backoff - spread;
    it->backoff = std::min(it->backoff * 2, options_.max_backoff);
}

// Takes the pointer by value: the caller's reference may be to the element that
// is erased from the list.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void config_writer::finish(pending_change_ptr it,
                           absl::StatusOr<config_document> result)
{
    const auto found = std::find(pending_.begin(), pending_.end(), it);
    if (found == pending_.end())
        return;
    pending_.erase(found);
    it->done(std::move(result));
}

} // namespace galenapulley
