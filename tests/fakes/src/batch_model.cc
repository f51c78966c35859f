#include "batch_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace vanillalever::fakes {

std::int64_t BatchJob::emitted() const {
  return std::min(output_tokens,
                  static_cast<std::int64_t>(std::floor(generated)));
}

void BatchModel::Submit(std::shared_ptr<BatchJob> job) {
  job->prefill_left = static_cast<double>(TokenCount(job->prompt));
  auto position = std::upper_bound(
      queue_.begin(), queue_.end(), job,
      [](const auto& a, const auto& b) { return a->priority > b->priority; });
  queue_.insert(position, std::move(job));
}

void BatchModel::Remove(const std::shared_ptr<BatchJob>& job) {
  std::erase(queue_, job);
  std::erase(running_, job);
}

void BatchModel::Step(double elapsed, double speed) {
  Admit();
  double prefill = settings_.prefill_rate * speed * elapsed;
  Jobs decoding;
  for (const auto& job : running_) {
    double computed = std::min(prefill, job->prefill_left);
    prefill -= computed;
    job->prefill_left -= computed;
    if (job->prefill_left <= 0 && !job->finished())
      decoding.push_back(job);
  }
  if (decoding.empty())
    return;
  double rate =
      std::min(settings_.decode_rate, settings_.total_decode_rate /
                                          static_cast<double>(decoding.size()));
  for (const auto& job : decoding) {
    std::int64_t before = job->emitted();
    job->generated += rate * speed * elapsed;
    if (job->emitted() > before)
      job->progress.notify_all();
  }
}

std::int64_t BatchModel::backlog_tokens() const {
  double tokens = 0;
  for (const Jobs* jobs : {&queue_, &running_}) {
    for (const auto& job : *jobs)
      tokens += job->prefill_left +
                std::max(0.0, static_cast<double>(job->output_tokens) -
                                  job->generated);
  }
  return std::llround(tokens);
}

void BatchModel::Admit() {
  while (!queue_.empty() && running_.size() < settings_.max_running) {
    std::shared_ptr<BatchJob> job = std::move(queue_.front());
    queue_.erase(queue_.begin());
    job->running = true;
    if (!job->cache_key.empty())
      job->cached_tokens = std::min(cache_.Lookup(job->cache_key, job->prompt),
                                    TokenCount(job->prompt));
    job->prefill_left -= static_cast<double>(job->cached_tokens);
    running_.push_back(std::move(job));
  }
}

}  // namespace vanillalever::fakes
