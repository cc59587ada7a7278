#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint.hpp"
#include "galenapulley/prompt_part.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace galenapulley
{

/// Report that an endpoint crashed while it held a prompt with these parts and
/// had not begun a response to it.
struct prompt_crash
{
    endpoint_key endpoint = 0;
    msec at = 0;
    std::vector<prompt_part> parts{};
};

/// Report that an endpoint began the response to a prompt with the part.
struct sound_part
{
    std::uint64_t part = 0;
    msec at = 0;
};

/// What nodes tell each other about prompts that crash endpoints.
struct prompt_reports
{
    std::vector<prompt_crash> crashes{};
    std::vector<sound_part> sound{};
    /// When an endpoint last began the response to any prompt.
    std::optional<msec> last_sound{};
};

/// Quarantines the parts of prompts that crash each endpoint which begins to
/// respond to them. A crash also ends the other prompts at the same endpoint,
/// so the crashes are explained by as few parts as possible. A part is
/// quarantined after several crashes since an endpoint last began a response to
/// it, sooner if other prompts are served meanwhile. Reports may arrive in any
/// order, late and more than once; nodes with the same reports quarantine the
/// same parts.
class prompt_quarantine
{
public:
    /// An endpoint crashed under a request of this node.
    void on_crash(const prompt_crash& item, msec now);
    /// An endpoint began the response to a request of this node.
    void on_sound(std::span<const prompt_part> parts, msec now);
    void on_reports(const prompt_reports& reports, msec now);

    /// The first quarantined part among these, if there is one.
    std::optional<std::uint64_t> find(std::span<const prompt_part> parts,
                                      msec now);
    const std::set<std::uint64_t>& parts(msec now);
    /// The reports from which a node that has just started learns the
    /// quarantined and suspected parts. Empty if there are none.
    prompt_reports reports(msec now);
    /// When an endpoint last began the response to any prompt.
    const std::optional<msec>& last_sound() const { return last_sound_; }
    /// Number of crashes that are remembered.
    std::size_t size() const { return crashes_.size(); }

    /// Time for which a quarantine and its reports are remembered.
    static constexpr msec memory = 600'000;
    /// Crashes within this time are one occasion, as the loss of a failure
    /// domain ends many endpoints at once.
    static constexpr msec occasion_interval = 150;
    /// While other prompts are served, so many occasions or crashes quarantine
    /// a part.
    static constexpr std::size_t min_occasions = 3;
    static constexpr std::size_t min_crashes = 5;
    /// While no prompt is served, the part may not be the cause.
    static constexpr std::size_t min_occasions_alone = 5;
    /// A part that has been sound is quarantined only after it hasn't been for
    /// this time.
    static constexpr msec sound_time = 2000;
    /// Crashes without a quarantined part are reported for this time.
    static constexpr msec suspicion_time = 30'000;
    static constexpr std::size_t max_crashes = 128;
    static constexpr std::size_t max_parts_per_crash = 64;
    static constexpr std::size_t max_sound_parts = 2048;
    static constexpr std::size_t max_reported_crashes = 16;

private:
    struct crash
    {
        msec at = 0;
        /// Positions of the parts by their ids.
        std::map<std::uint64_t, std::uint32_t> parts{};
        /// The quarantined part that explains the crash.
        std::optional<std::uint64_t> explained_by{};
    };

    /// Crashes that may be due to one part.
    struct evidence
    {
        std::size_t crashes = 0;
        std::size_t occasions = 0;
        msec first_at = 0;
        msec occasion_at = 0;
        std::uint32_t position = 0;
    };

    void add_crash(const prompt_crash& item, msec now);
    void add_sound(std::uint64_t part, msec at);
    void add_last_sound(msec at);
    void forget_oldest_sound();
    void forget_crash();
    void expire(msec now);
    /// Determines the quarantined parts.
    void evaluate(msec now);
    std::map<std::uint64_t, evidence> unexplained() const;
    std::optional<std::uint64_t> most_suspected(msec now) const;
    bool is_suspected(std::uint64_t part, const evidence& it, msec now) const;
    std::vector<prompt_crash> crashes_of(std::uint64_t part) const;
    std::vector<prompt_crash> suspicious_crashes(msec now) const;

    std::map<endpoint_key, crash> crashes_;
    /// When each part was last sound.
    std::unordered_map<std::uint64_t, msec> sound_at_;
    /// When any prompt was last sound.
    std::optional<msec> last_sound_;
    std::set<std::uint64_t> quarantined_;
    msec evaluate_at_ = 0;
};

} // namespace galenapulley
