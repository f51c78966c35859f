#include "program_plan.h"

#include <algorithm>
#include <utility>

namespace vanillalever::load {
namespace {

// One in kLongProgramOneIn programs generates kLongProgramOutputFactor times as
// many tokens.
constexpr std::uint64_t kLongProgramOneIn = 25;
constexpr std::int64_t kLongProgramOutputFactor = 8;

// Names of the pools and operations of a workload.
struct WorkloadNames {
  std::string model_pool;
  std::string service_pool;
  // Repeatable operation.
  std::string lookup;
};

const WorkloadNames& NamesOfWorkload(Workload workload) {
  static const WorkloadNames casca{"agent-models", "ticket-app", "read_lot"};
  static const WorkloadNames tan{"model-bench", "shop-app", "read_stock"};
  return workload == Workload::kCasca ? casca : tan;
}

// Builds the turns of one program.
class TurnBuilder {
 public:
  TurnBuilder(Workload workload, base::Random& random)
      : names_(NamesOfWorkload(workload)),
        random_(random),
        output_factor_(random.Below(kLongProgramOneIn) == 0
                           ? kLongProgramOutputFactor
                           : 1) {}

  // Adds a model call that generates 0.5 to 1.5 times `tokens`.
  void AddModelCall(std::size_t prompt_bytes, std::int64_t tokens) {
    std::int64_t drawn =
        tokens / 2 + static_cast<std::int64_t>(
                         random_.Below(static_cast<std::uint64_t>(tokens) + 1));
    turns_.push_back({true, names_.model_pool, "chat", true, prompt_bytes,
                      std::max<std::int64_t>(2, drawn * output_factor_),
                      base::milliseconds(random_.Below(20))});
  }

  // Adds a repeatable service call.
  void AddLookup() { AddServiceCall(names_.lookup, true); }

  // Adds a service call that must be executed at most once.
  void AddNonRepeatableCall(const std::string& operation) {
    AddServiceCall(operation, false);
  }

  std::vector<PlannedTurn> Take() { return std::move(turns_); }

 private:
  void AddServiceCall(const std::string& operation, bool repeatable) {
    turns_.push_back({false, names_.service_pool, operation, repeatable, 0, 0,
                      base::milliseconds(20 + random_.Below(100))});
  }

  const WorkloadNames& names_;
  base::Random& random_;
  const std::int64_t output_factor_;
  std::vector<PlannedTurn> turns_;
};

// Adds sub-agents, each with a model call, a lookup and a final model call.
void AddSubAgents(Workload workload,
                  PlannedProgram& program,
                  std::uint64_t count,
                  base::Random& random) {
  for (std::uint64_t i = 0; i < count; ++i) {
    TurnBuilder builder(workload, random);
    builder.AddModelCall(200, 20);
    builder.AddLookup();
    builder.AddModelCall(100, 30);
    program.children.push_back({program.key + "-agent" + std::to_string(i),
                                program.program_class,
                                builder.Take(),
                                {}});
  }
}

void AddReviewTurns(TurnBuilder& builder,
                    std::uint64_t rounds,
                    std::int64_t tokens) {
  for (std::uint64_t i = 0; i < rounds; ++i) {
    builder.AddModelCall(400, tokens);
    builder.AddLookup();
  }
  builder.AddModelCall(200, tokens);
}

PlannedProgram DrawCasca(const std::string& key, base::Random& random) {
  PlannedProgram program{key, "quick-check", {}, {}};
  TurnBuilder builder(Workload::kCasca, random);
  std::uint64_t draw = random.Below(100);
  if (draw < 60) {
    builder.AddLookup();
    builder.AddModelCall(300, 20);
  } else if (draw < 80) {
    program.program_class = "quality-review";
    AddReviewTurns(builder, 3 + random.Below(4), 60);
    AddSubAgents(Workload::kCasca, program, random.Below(3), random);
  } else {
    program.program_class = "settlement";
    builder.AddModelCall(300, 20);
    builder.AddNonRepeatableCall("record_weighing");
    builder.AddNonRepeatableCall("enter_lot");
    builder.AddModelCall(200, 20);
    builder.AddNonRepeatableCall("pay_grower");
    builder.AddModelCall(100, 10);
  }
  program.turns = builder.Take();
  return program;
}

PlannedProgram DrawTan(const std::string& key, base::Random& random) {
  PlannedProgram program{key, "repair-quote", {}, {}};
  TurnBuilder builder(Workload::kTan, random);
  std::uint64_t draw = random.Below(100);
  if (draw < 65) {
    builder.AddModelCall(300, 25);
    builder.AddLookup();
    builder.AddModelCall(100, 25);
  } else if (draw < 85) {
    program.program_class = "parts-chase";
    AddReviewTurns(builder, 5 + random.Below(6), 80);
    AddSubAgents(Workload::kTan, program, 1 + random.Below(3), random);
  } else {
    program.program_class = "after-sales";
    builder.AddModelCall(300, 20);
    builder.AddNonRepeatableCall("refund");
    builder.AddNonRepeatableCall("book_courier");
    builder.AddModelCall(100, 10);
  }
  program.turns = builder.Take();
  return program;
}

}  // namespace

std::size_t PlannedProgram::size() const {
  std::size_t count = 1;
  for (const PlannedProgram& child : children)
    count += child.size();
  return count;
}

std::int64_t PlannedProgram::budget() const {
  // JSON overhead of one message, and length of one generated token, in bytes.
  constexpr std::int64_t kMessageBytes = 100;
  constexpr std::int64_t kBytesPerToken = 8;
  std::int64_t conversation = 0;
  std::int64_t total = 0;
  for (const PlannedTurn& turn : turns) {
    conversation += kMessageBytes +
                    static_cast<std::int64_t>(turn.prompt_bytes) +
                    turn.output_tokens * kBytesPerToken;
    total += conversation;
  }
  for (const PlannedProgram& child : children)
    total += child.budget();
  return total;
}

PlannedProgram DrawProgram(Workload workload,
                           const std::string& key,
                           base::Random& random) {
  return workload == Workload::kCasca ? DrawCasca(key, random)
                                      : DrawTan(key, random);
}

}  // namespace vanillalever::load
