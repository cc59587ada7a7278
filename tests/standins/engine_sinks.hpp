#pragma once

#include "standins/engine_simulation.hpp"
#include "standins/standin_api.hpp"

#include <cstdint>
#include <string>

namespace galenapulley::standins
{

struct stream_options
{
    std::string request_id;
    std::string hash;
    std::int64_t max_tokens = 0;
    /// Aborts the connection after this many events; negative: never.
    std::int64_t truncate_after = -1;
    /// Index of an event that is left out; negative: none.
    std::int64_t skip_index = -1;
};

/// Writes a completion as server-sent events.
class completion_sink final : public job_sink
{
public:
    completion_sink(engine_simulation& simulation, exchange_ptr exchange,
                    stream_options options);

    void begin(engine_simulation::job_id id);

    void on_tokens(std::int64_t begin, std::int64_t end) override;
    void on_finished() override;
    void on_cancelled() override;

private:
    std::string event(const json& fields) const;

    engine_simulation& simulation_;
    exchange_ptr exchange_;
    stream_options options_;
    engine_simulation::job_id id_ = 0;
    std::int64_t written_ = 0;
};

/// Responds to a prefill request once the segment is prefilled.
class prefill_sink final : public job_sink
{
public:
    prefill_sink(exchange_ptr exchange, std::int64_t tokens);

    void on_tokens(std::int64_t begin, std::int64_t end) override;
    void on_finished() override;
    void on_cancelled() override;

private:
    exchange_ptr exchange_;
    std::int64_t tokens_;
};

} // namespace galenapulley::standins
