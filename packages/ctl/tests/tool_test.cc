#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "vanillalever/base/random.h"
#include "vanillalever/config/admin_codec.h"
#include "vanillalever/config/object_codec.h"
#include "vanillalever/ctl/tool.h"

namespace vanillalever::ctl {
namespace {

namespace fs = std::filesystem;
using config::AdminCodec;

// Temporary directory of object files, removed at the end of a test.
class TempDir {
 public:
  TempDir()
      : path_(fs::temp_directory_path() / ("vl_ctl_" + base::RandomId())) {
    fs::create_directories(path_);
  }
  ~TempDir() { fs::remove_all(path_); }
  TempDir(const TempDir&) = delete;
  TempDir& operator=(const TempDir&) = delete;

  std::string Write(const std::string& name, const std::string& text) const {
    fs::path file = path_ / name;
    fs::create_directories(file.parent_path());
    std::ofstream(file) << text;
    return file.string();
  }
  std::string path() const { return path_.string(); }

 private:
  fs::path path_;
};

config::Budget SmallBudget(std::int64_t tokens) {
  return {"small", config::BudgetScope::kProgram, tokens};
}

std::string BudgetText(std::int64_t tokens) {
  return config::EncodeObject(SmallBudget(tokens));
}

http::ClientResult OkResponse(const std::string& body) {
  http::ClientResult result;
  result.status = 200;
  result.body = body;
  return result;
}

http::ClientResult ErrorResponse(base::ErrorCode code,
                                 base::ExecutionStatus ran) {
  config::ChangeResponse response;
  response.version = 5;
  base::ErrorInfo error =
      base::NotRunError(code, base::Step::kStore, "m").info();
  error.ran = ran;
  response.error = error;
  http::ClientResult result;
  result.status = 500;
  result.body = AdminCodec::EncodeChangeResponse(response);
  return result;
}

http::ClientResult FailedRequest(base::Step step, base::ExecutionStatus ran) {
  http::ClientResult result;
  base::ErrorInfo error =
      base::NotRunError(base::ErrorCode::kUnavailable, step, "reset").info();
  error.ran = ran;
  result.error = error;
  return result;
}

// Simulated entry with one configuration and optional scripted responses.
struct FakeEntry {
  std::int64_t version = 5;
  config::ConfigSet set;
  std::vector<config::ConfigVersion> history;
  // Responses to apply requests that replace the normal ones.
  std::deque<http::ClientResult> apply_responses;
  // Whether a change is applied although its response is replaced.
  bool apply_despite_replacement = false;
  // Number of history requests that fail.
  int failing_history_reads = 0;
  std::string program = R"({"state":"running","turns":[{"n":1}]})";
  // "METHOD target" of every request.
  std::vector<std::string> requests;

  http::ClientResult Handle(const std::string& method,
                            const std::string& target,
                            const std::string& body) {
    requests.push_back(method + " " + target);
    if (target == "/admin/v1/history")
      return failing_history_reads-- > 0
                 ? FailedRequest(base::Step::kConnect,
                                 base::ExecutionStatus::kNotRun)
                 : OkResponse(AdminCodec::EncodeHistory(history));
    if (target == "/admin/v1/status")
      return OkResponse(AdminCodec::EncodeStatus(Status()));
    if (target.starts_with("/admin/v1/programs/"))
      return OkResponse(program);
    if (target.starts_with("/admin/v1/config"))
      return OkResponse(AdminCodec::EncodeConfig(version, set));
    return Change(target, AdminCodec::DecodeChange(body).change);
  }

  config::AdminStatus Status() const {
    config::AdminStatus status;
    status.version = version;
    status.entries.emplace_back().address = "127.0.0.1:1";
    status.servers.emplace_back().address = "127.0.0.1:2";
    return status;
  }

  http::ClientResult Change(const std::string& target,
                            const config::ChangeSet& change) {
    config::ChangeResult result = config::Apply(set, change);
    bool apply = target == "/admin/v1/apply";
    bool replaced = apply && !apply_responses.empty();
    if (apply && result.accepted() &&
        (apply_despite_replacement || !replaced)) {
      set = result.set;
      history.push_back({++version, change.author, "now", change.reason,
                         change.token, result.diff, set.BodyHash()});
    }
    if (!replaced)
      return OkResponse(AdminCodec::EncodeChangeResponse(
          AdminCodec::MakeChangeResponse(result, version)));
    http::ClientResult response = apply_responses.front();
    apply_responses.pop_front();
    return response;
  }
};

class FakeChannel final : public AdminChannel {
 public:
  explicit FakeChannel(FakeEntry& entry) : entry_(entry) {}
  http::ClientResult Send(const std::string& method,
                          const std::string& target,
                          const std::string& body) override {
    return entry_.Handle(method, target, body);
  }

 private:
  FakeEntry& entry_;
};

// Result of a run of the tool.
struct RunResult {
  ExitCode code = ExitCode::kOk;
  std::string out;
  std::string err;
};

CtlSettings ApplySettings() {
  CtlSettings settings;
  settings.author = "ana";
  settings.reason = "test";
  settings.base_version = 5;
  settings.timeout = base::milliseconds(30);
  settings.history_poll_interval = base::milliseconds(1);
  return settings;
}

RunResult RunTool(const CtlSettings& settings,
                  FakeEntry* entry,
                  const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  std::unique_ptr<AdminChannel> channel;
  if (entry != nullptr)
    channel = std::make_unique<FakeChannel>(*entry);
  Tool tool(settings, std::move(channel), out, err);
  ExitCode code = tool.Run(arguments);
  return {code, out.str(), err.str()};
}

// Guards against skipped files of a directory, and against two files that
// overwrite each other's objects.
TEST_CASE(
    "directories are read recursively and duplicate objects name both files") {
  TempDir dir;
  dir.Write("a.json", BudgetText(1));
  dir.Write("notes.txt", "not JSON");
  CHECK(RunTool({}, nullptr, {"validate", dir.path()}).code == ExitCode::kOk);
  dir.Write("inner/b.json", "[" + BudgetText(2) + "]");
  RunResult run = RunTool({}, nullptr, {"validate", dir.path()});
  CHECK(run.code == ExitCode::kRejected);
  CHECK_THAT(run.err, Catch::Contains("budget/small: name") &&
                          Catch::Contains("a.json and") &&
                          Catch::Contains("b.json"));
}

// Guards against an exit code that makes a script take an error for success.
TEST_CASE("validate reports every error") {
  TempDir dir;
  std::string file = dir.Write(
      "a.json", R"([{"kind":"pool","name":"p"},{"kind":"budget","name":"b"}])");
  RunResult run = RunTool({}, nullptr, {"validate", file});
  CHECK(run.code == ExitCode::kRejected);
  CHECK_THAT(run.err,
             Catch::Contains("pool/p: place: expected this field") &&
                 Catch::Contains("budget/b: tokens: expected this field"));
  CtlSettings json;
  json.output = OutputFormat::kJson;
  run = RunTool(json, nullptr, {"validate", file});
  CHECK(run.code == ExitCode::kRejected);
  CHECK(AdminCodec::DecodeChangeResponse(run.out).errors.size() > 5);
}

// Guards against a diff that publishes changes, or shows other changes than
// apply would make.
TEST_CASE("diff shows what apply would change") {
  TempDir dir;
  std::string file = dir.Write("a.json", BudgetText(7));
  FakeEntry entry;
  entry.set.Put(SmallBudget(5));
  entry.set.Put(config::Priority{"rest", 1, 0, base::milliseconds(5)});
  RunResult run = RunTool({}, &entry, {"diff", file});
  CHECK(run.code == ExitCode::kOk);
  CHECK(run.out == "~ budget/small\n    tokens: 5 -> 7\n");
  CHECK_THAT(run.err, Catch::Contains("version 5"));
  CtlSettings replace;
  replace.replace = true;
  run = RunTool(replace, &entry, {"diff", file});
  CHECK(run.out == "~ budget/small\n    tokens: 5 -> 7\n- priority/rest\n");
  CHECK(entry.version == 5);
  CHECK(RunTool({}, nullptr, {"diff", file}).code == ExitCode::kUsage);
}

// Guards against changes without an author, a reason or a base version, which
// the audit trail and the conflict check need.
TEST_CASE("apply needs author, reason and base version") {
  TempDir dir;
  std::string file = dir.Write("a.json", BudgetText(7));
  FakeEntry entry;
  const std::vector<std::function<void(CtlSettings&)>> edits = {
      [](CtlSettings& settings) { settings.author.clear(); },
      [](CtlSettings& settings) { settings.reason.clear(); },
      [](CtlSettings& settings) { settings.base_version.reset(); },
  };
  for (const auto& edit : edits) {
    CtlSettings settings = ApplySettings();
    edit(settings);
    CHECK(RunTool(settings, &entry, {"apply", file}).code == ExitCode::kUsage);
  }
  CHECK(RunTool(ApplySettings(), &entry, {"apply"}).code == ExitCode::kUsage);
  CHECK(entry.requests.empty());
}

// Guards against a change that is not published or is reported under a wrong
// version.
TEST_CASE("apply publishes puts and deletions") {
  TempDir dir;
  std::string file = dir.Write("a.json", BudgetText(7));
  FakeEntry entry;
  entry.set.Put(config::Priority{"rest", 1, 0, base::milliseconds(5)});
  CtlSettings settings = ApplySettings();
  settings.remove = {{config::Kind::kPriority, "rest"}};
  RunResult run = RunTool(settings, &entry, {"apply", file});
  CHECK(run.code == ExitCode::kOk);
  CHECK(run.out == "+ budget/small\n- priority/rest\n");
  CHECK_THAT(run.err, Catch::Contains("applied as version 6"));
  CHECK(entry.set.Find<config::Budget>("small")->tokens == 7);
  CHECK(entry.set.priorities().empty());
}

// Guards against reporting a version that was not created.
TEST_CASE("apply reports that nothing differs") {
  TempDir dir;
  std::string file = dir.Write("a.json", BudgetText(7));
  FakeEntry entry;
  entry.set.Put(SmallBudget(7));
  RunResult run = RunTool(ApplySettings(), &entry, {"apply", file});
  CHECK(run.code == ExitCode::kOk);
  CHECK(run.out.empty());
  CHECK_THAT(run.err, Catch::Contains("no difference"));
}

// Guards against a conflict that looks like any other rejection.
TEST_CASE("a conflict has its own exit code and names the objects") {
  TempDir dir;
  std::string file = dir.Write("a.json", BudgetText(7));
  config::ChangeResult result;
  result.conflicts = {{config::Kind::kBudget, "small"}};
  FakeEntry entry;
  entry.apply_responses = {OkResponse(AdminCodec::EncodeChangeResponse(
      AdminCodec::MakeChangeResponse(result, 6)))};
  RunResult run = RunTool(ApplySettings(), &entry, {"apply", file});
  CHECK(run.code == ExitCode::kConflict);
  CHECK_THAT(run.err, Catch::Contains("conflict: budget/small"));
}

// Guards against reporting an applied change as failed: if the response does
// not tell the outcome, the history does.
TEST_CASE("an applied change whose response was lost is found in the history") {
  TempDir dir;
  std::string file = dir.Write("a.json", BudgetText(7));
  http::ClientResult gateway;
  gateway.status = 502;
  gateway.body = "<html>bad gateway</html>";
  for (const http::ClientResult& lost :
       {FailedRequest(base::Step::kRun, base::ExecutionStatus::kUnknown),
        gateway, OkResponse("{\"ver"),
        ErrorResponse(base::ErrorCode::kTimeout,
                      base::ExecutionStatus::kUnknown)}) {
    FakeEntry entry;
    entry.apply_responses = {lost};
    entry.apply_despite_replacement = true;
    entry.failing_history_reads = 2;
    RunResult run = RunTool(ApplySettings(), &entry, {"apply", file});
    CHECK(run.code == ExitCode::kOk);
    CHECK(run.out == "+ budget/small\n");
    CHECK_THAT(run.err, Catch::Contains("applied as version 6"));
  }
}

// Guards against reporting an outcome without evidence.
TEST_CASE(
    "a lost response without a history entry leaves the outcome unknown") {
  TempDir dir;
  std::string file = dir.Write("a.json", BudgetText(7));
  FakeEntry entry;
  entry.apply_responses = {
      FailedRequest(base::Step::kRun, base::ExecutionStatus::kUnknown)};
  CtlSettings settings = ApplySettings();
  settings.change_token = "my-token";
  RunResult run = RunTool(settings, &entry, {"apply", file});
  CHECK(run.code == ExitCode::kUnknown);
  CHECK_THAT(run.err, Catch::Contains("outcome unknown") &&
                          Catch::Contains("--change_token=my-token"));
  CHECK(entry.requests.size() > 2);
}

// Guards against reading the history for a change that was never sent or was
// rejected, and against confusing rejections with outages.
TEST_CASE("rejections and outages that exclude a run are reported at once") {
  TempDir dir;
  std::string file = dir.Write("a.json", BudgetText(7));
  struct Case {
    http::ClientResult response;
    ExitCode code;
  };
  const std::vector<Case> cases = {
      {FailedRequest(base::Step::kConnect, base::ExecutionStatus::kNotRun),
       ExitCode::kUnknown},
      {ErrorResponse(base::ErrorCode::kUnavailable,
                     base::ExecutionStatus::kNotRun),
       ExitCode::kUnknown},
      {ErrorResponse(base::ErrorCode::kUnauthenticated,
                     base::ExecutionStatus::kNotRun),
       ExitCode::kRejected},
      {ErrorResponse(base::ErrorCode::kInvalidRequest,
                     base::ExecutionStatus::kNotRun),
       ExitCode::kRejected},
      {ErrorResponse(base::ErrorCode::kConflict,
                     base::ExecutionStatus::kNotRun),
       ExitCode::kConflict},
  };
  for (const Case& item : cases) {
    FakeEntry entry;
    entry.apply_responses = {item.response};
    RunResult run = RunTool(ApplySettings(), &entry, {"apply", file});
    CHECK(run.code == item.code);
    CHECK(entry.requests == std::vector<std::string>{"POST /admin/v1/apply"});
  }
}

// Guards against output of `get` that cannot be applied again.
TEST_CASE("the JSON output of get is an object file") {
  FakeEntry entry;
  entry.set.Put(SmallBudget(5));
  entry.set.Put(config::Priority{"rest", 1, 0, base::milliseconds(5)});
  CtlSettings settings;
  settings.output = OutputFormat::kJson;
  settings.at_version = 3;
  RunResult run = RunTool(settings, &entry, {"get"});
  CHECK(run.code == ExitCode::kOk);
  CHECK(entry.requests.back() == "GET /admin/v1/config?version=3");
  config::ParsedObjects parsed = config::ParseObjects(run.out, "out");
  CHECK(parsed.errors.empty());
  CHECK(parsed.objects == entry.set.Objects());
  run = RunTool(settings, &entry, {"get", "budget", "pool/none"});
  CHECK(run.code == ExitCode::kRejected);
  CHECK(config::ParseObjects(run.out, "out").objects.size() == 1);
  CHECK_THAT(run.err, Catch::Contains("there is no pool/none"));
  CHECK(RunTool({}, &entry, {"get", "disk"}).code == ExitCode::kUsage);
}

// Guards against an audit trail that cannot be searched.
TEST_CASE("history selects versions by object and by change token") {
  FakeEntry entry;
  config::ObjectId small{config::Kind::kBudget, "small"};
  entry.history = {{1, "ana", "t1", "first", "a", {{small, {}, {}}}, ""},
                   {2, "rui", "t2", "second", "b", {}, ""}};
  RunResult run = RunTool({}, &entry, {"history"});
  CHECK(run.out ==
        "VERSION  TIME  AUTHOR  REASON  CHANGES\n"
        "1        t1    ana     first   added budget/small\n"
        "2        t2    rui     second  \n");
  run = RunTool({}, &entry, {"history", "budget/small"});
  CHECK_THAT(run.out, Catch::Contains("ana") && !Catch::Contains("rui"));
  CtlSettings settings;
  settings.change_token = "b";
  run = RunTool(settings, &entry, {"history"});
  CHECK_THAT(run.out, Catch::Contains("rui") && !Catch::Contains("ana"));
  settings.change_token = "c";
  CHECK(RunTool(settings, &entry, {"history"}).code == ExitCode::kRejected);
}

// Guards against program ids that select another route of the entry.
TEST_CASE("status and program show print the entry's response") {
  FakeEntry entry;
  RunResult run = RunTool({}, &entry, {"status"});
  CHECK_THAT(run.out, Catch::Contains("configuration version 5") &&
                          Catch::Contains("127.0.0.1:2"));
  run = RunTool({}, &entry, {"program", "show", "3.ab"});
  CHECK(run.out == "state: running\nturns[0].n: 1\n");
  CHECK(entry.requests.back() == "GET /admin/v1/programs/3.ab");
  CHECK(RunTool({}, &entry, {"program", "show", "../config"}).code ==
        ExitCode::kUsage);
  entry.program = "<html>";
  CHECK(RunTool({}, &entry, {"program", "show", "3.ab"}).code ==
        ExitCode::kUnknown);
}

}  // namespace
}  // namespace vanillalever::ctl
