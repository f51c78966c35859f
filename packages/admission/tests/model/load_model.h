#ifndef VANILLALEVER_ADMISSION_TESTS_LOAD_MODEL_H_
#define VANILLALEVER_ADMISSION_TESTS_LOAD_MODEL_H_

#include <deque>
#include <vector>

#include "vanillalever/admission/admission_control.h"
#include "vanillalever/base/random.h"

namespace vanillalever::admission {

// A kind of program.
struct ProgramKind {
  int turns = 3;
  int priority = 0;
  // Programs a second.
  double rate = 0;
};

// A demand that exceeds what the servers complete for a while.
struct LoadScenario {
  std::vector<ProgramKind> kinds;
  int servers = 8;
  double burst_factor = 4;
  // The burst, and the end of arrivals, in seconds.
  double burst_start = 6;
  double burst_end = 12;
  double end = 20;
  bool admission = true;
};

// What became of the programs of one kind that began in one period.
struct ProgramOutcomes {
  int asked = 0;
  int in_time = 0;
};

// Plays programs against servers with slots and queues, behind gateways that
// see each other's requests late. Callers retry as a platform's do: one more
// attempt within a turn's time limit, and two more tries of the turn.
class LoadModel {
 public:
  LoadModel(LoadScenario scenario, std::uint64_t seed);

  void Run();

  // Of the programs that began in a period.
  ProgramOutcomes outcomes(int kind, double from, double to) const;
  // Server time spent within a period on programs that ended in time, as a
  // share of all that the servers have.
  double useful_share(double from, double to) const;

 private:
  struct Program {
    int kind = 0;
    std::uint64_t hash = 0;
    double began = 0;
    double aim = 0;
    int turns_left = 0;
    // Tries of the current turn, and attempts within the try.
    int tries = 0;
    int attempts = 0;
    // Time limit of the current try.
    double limit = 0;
    double ended = -1;
    bool failed = false;
    // Ends of its turns at servers.
    std::vector<double> turn_ends;
  };
  struct Work {
    std::size_t program = 0;
    int gateway = 0;
    // When the gateway gives up waiting for a place at a server.
    double wait_until = 0;
    double limit = 0;
    double sent = 0;
    int open_at_send = 0;
    double left = 0;
  };
  struct Server {
    std::vector<Work> running;
    std::deque<Work> queue;
    int open() const { return static_cast<int>(running.size() + queue.size()); }
  };
  struct Event {
    double at = 0;
    std::size_t program = 0;
  };

  void Arrive();
  void StartTurn(std::size_t program);
  void Offer(std::size_t program);
  bool Place(Work work);
  void Fail(std::size_t program, double delay);
  void Complete(const Work& work);
  void Step(Server& server);
  base::TimePoint now() const;
  // Open requests as the gateway knows them.
  int KnownOpen(int gateway, std::size_t server) const;

  LoadScenario scenario_;
  base::Random random_;
  double time_ = 0;
  std::vector<AdmissionControl> gateways_;
  std::vector<Program> programs_;
  std::vector<Server> servers_;
  // Attempts that start at a time, and those that wait at a gateway.
  std::vector<Event> events_;
  std::vector<Work> waiting_;
  // Open requests by server at past steps; each gateway's own, by server.
  std::deque<std::vector<int>> history_;
  std::deque<std::vector<std::vector<int>>> own_history_;
  std::vector<std::vector<int>> own_;
};

}  // namespace vanillalever::admission

#endif  // VANILLALEVER_ADMISSION_TESTS_LOAD_MODEL_H_
