#include "process/seed_bootstrap.h"

#include <utility>

namespace endivetrestle {

SeedBootstrap::SeedBootstrap(std::vector<SocketAddress> seeds, Time startedAt, SeedBootstrapHooks hooks)
    : seeds(std::move(seeds))
    , hooks(std::move(hooks))
    , nextQuestion(startedAt + startDelay)
{
}

void SeedBootstrap::tick(StoreVersion rowVersion, Time now)
{
    if (now < this->nextQuestion)
        return;
    this->nextQuestion = now + (this->answered ? refreshInterval : searchInterval);
    for (const auto& seed : this->seeds) {
        if (!this->asked.insert(seed).second)
            continue;
        this->hooks.ask(seed, rowVersion,
            [this, seed](const std::optional<BootstrapAnswer>& answer) { this->onAnswer(seed, answer); });
    }
}

void SeedBootstrap::onAnswer(const SocketAddress& seed, const std::optional<BootstrapAnswer>& answer)
{
    this->asked.erase(seed);
    if (!answer)
        return;
    this->answered = true;
    this->hooks.apply(*answer);
}

} // namespace endivetrestle
