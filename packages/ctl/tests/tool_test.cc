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

// Folder of object files that is removed at the end of a test.
class Folder {
 public:
  Folder() : path_(fs::temp_directory_path() / ("vl_ctl_" + base::RandomId())) {
    fs::create_directories(path_);
  }
  ~Folder() { fs::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

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

http::ClientResult Ok(const std::string& body) {
  http::ClientResult result;
  result.status = 200;
  result.body = body;
  return result;
}

http::ClientResult Refusal(base::ErrorCode code, base::ExecutionStatus ran) {
  config::ChangeAnswer answer;
  answer.version = 5;
  base::ErrorInfo error = base::NotRunError(code, base::Step::kStore, "m").info();
  error.ran = ran;
  answer.error = error;
  http::ClientResult result;
  result.status = 500;
  result.body = AdminCodec::EncodeChangeAnswer(answer);
  return result;
}

http::ClientResult Broken(base::Step step, base::ExecutionStatus ran) {
  http::ClientResult result;
  base::ErrorInfo error =
      base::NotRunError(base::ErrorCode::kUnavailable, step, "reset").info();
  error.ran = ran;
  result.error = error;
  return result;
}

// Entry that holds one configuration and answers as a test prescribes.
struct FakeEntry {
  std::int64_t version = 5;
  config::ConfigSet set;
  std::vector<config::ConfigVersion> history;
  // Answers to apply in place of a normal one.
  std::deque<http::ClientResult> apply_answers;
  // Whether a change is applied although its answer is replaced.
  bool applies = false;
  // Number of requests for the history that fail.
  int failing_reads = 0;
  std::string program = R"({"state":"running","turns":[{"n":1}]})";
  // "METHOD target" of every request.
  std::vector<std::string> requests;

  http::ClientResult Answer(const std::string& method,
                            const std::string& target,
                            const std::string& body) {
    requests.push_back(method + " " + target);
    if (target == "/admin/v1/history")
      return failing_reads-- > 0
                 ? Broken(base::Step::kConnect, base::ExecutionStatus::kNotRun)
                 : Ok(AdminCodec::EncodeHistory(history));
    if (target == "/admin/v1/status")
      return Ok(AdminCodec::EncodeStatus(Status()));
    if (target.starts_with("/admin/v1/programs/"))
      return Ok(program);
    if (target.starts_with("/admin/v1/config"))
      return Ok(AdminCodec::EncodeConfig(version, set));
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
    bool replaced = apply && !apply_answers.empty();
    if (apply && result.accepted() && (applies || !replaced)) {
      set = result.set;
      history.push_back({++version, change.author, "now", change.reason,
                         change.token, result.diff, set.BodyHash()});
    }
    if (!replaced)
      return Ok(AdminCodec::EncodeChangeAnswer(
          AdminCodec::AnswerFor(result, version)));
    http::ClientResult answer = apply_answers.front();
    apply_answers.pop_front();
    return answer;
  }
};

class FakeChannel final : public AdminChannel {
 public:
  explicit FakeChannel(FakeEntry& entry) : entry_(entry) {}
  http::ClientResult Send(const std::string& method,
                          const std::string& target,
                          const std::string& body) override {
    return entry_.Answer(method, target, body);
  }

 private:
  FakeEntry& entry_;
};

// Result of a run of the tool.
struct Run {
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
  settings.recheck = base::milliseconds(1);
  return settings;
}

Run RunTool(const CtlSettings& settings,
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

// Guards against files of a folder that are left out, and against two files
// that overwrite each other's objects.
TEST_CASE("folders are read in whole and repeated objects name both files") {
  Folder folder;
  folder.Write("a.json", BudgetText(1));
  folder.Write("notes.txt", "not JSON");
  CHECK(RunTool({}, nullptr, {"validate", folder.path()}).code ==
        ExitCode::kOk);
  folder.Write("inner/b.json", "[" + BudgetText(2) + "]");
  Run run = RunTool({}, nullptr, {"validate", folder.path()});
  CHECK(run.code == ExitCode::kRefused);
  CHECK_THAT(run.err, Catch::Contains("budget/small: name") &&
                          Catch::Contains("a.json and") &&
                          Catch::Contains("b.json"));
}

// Guards against a script that takes a fault for success.
TEST_CASE("validate reports every fault") {
  Folder folder;
  std::string file = folder.Write(
      "a.json", R"([{"kind":"pool","name":"p"},{"kind":"budget","name":"b"}])");
  Run run = RunTool({}, nullptr, {"validate", file});
  CHECK(run.code == ExitCode::kRefused);
  CHECK_THAT(run.err,
             Catch::Contains("pool/p: place: expected this field") &&
                 Catch::Contains("budget/b: tokens: expected this field"));
  CtlSettings json;
  json.output = OutputFormat::kJson;
  run = RunTool(json, nullptr, {"validate", file});
  CHECK(run.code == ExitCode::kRefused);
  CHECK(AdminCodec::DecodeChangeAnswer(run.out).errors.size() > 5);
}

// Guards against a diff that publishes something, or shows other changes than
// apply would make.
TEST_CASE("diff shows what apply would change") {
  Folder folder;
  std::string file = folder.Write("a.json", BudgetText(7));
  FakeEntry entry;
  entry.set.Put(SmallBudget(5));
  entry.set.Put(config::Priority{"rest", 1, 0, base::milliseconds(5)});
  Run run = RunTool({}, &entry, {"diff", file});
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

// Guards against changes without an author, a reason or a base, which the audit
// trail and the conflict check need.
TEST_CASE("apply needs author, reason and base version") {
  Folder folder;
  std::string file = folder.Write("a.json", BudgetText(7));
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

// Guards against a change that is not published, or under another version.
TEST_CASE("apply publishes puts and deletions") {
  Folder folder;
  std::string file = folder.Write("a.json", BudgetText(7));
  FakeEntry entry;
  entry.set.Put(config::Priority{"rest", 1, 0, base::milliseconds(5)});
  CtlSettings settings = ApplySettings();
  settings.remove = {{config::Kind::kPriority, "rest"}};
  Run run = RunTool(settings, &entry, {"apply", file});
  CHECK(run.code == ExitCode::kOk);
  CHECK(run.out == "+ budget/small\n- priority/rest\n");
  CHECK_THAT(run.err, Catch::Contains("applied as version 6"));
  CHECK(entry.set.Find<config::Budget>("small")->tokens == 7);
  CHECK(entry.set.priorities().empty());
}

// Guards against announcing a version that was not made.
TEST_CASE("apply says so when nothing differs") {
  Folder folder;
  std::string file = folder.Write("a.json", BudgetText(7));
  FakeEntry entry;
  entry.set.Put(SmallBudget(7));
  Run run = RunTool(ApplySettings(), &entry, {"apply", file});
  CHECK(run.code == ExitCode::kOk);
  CHECK(run.out.empty());
  CHECK_THAT(run.err, Catch::Contains("no difference"));
}

// Guards against a conflict that looks like any other refusal.
TEST_CASE("a conflict has its own exit code and names the objects") {
  Folder folder;
  std::string file = folder.Write("a.json", BudgetText(7));
  config::ChangeResult result;
  result.conflicts = {{config::Kind::kBudget, "small"}};
  FakeEntry entry;
  entry.apply_answers = {
      Ok(AdminCodec::EncodeChangeAnswer(AdminCodec::AnswerFor(result, 6)))};
  Run run = RunTool(ApplySettings(), &entry, {"apply", file});
  CHECK(run.code == ExitCode::kConflict);
  CHECK_THAT(run.err, Catch::Contains("conflict: budget/small"));
}

// Guards against reporting an applied change as failed (rule R2): every answer
// that leaves the outcome open is settled by the history.
TEST_CASE("a lost answer to an applied change is found in the history") {
  Folder folder;
  std::string file = folder.Write("a.json", BudgetText(7));
  http::ClientResult gateway;
  gateway.status = 502;
  gateway.body = "<html>bad gateway</html>";
  for (const http::ClientResult& lost :
       {Broken(base::Step::kRun, base::ExecutionStatus::kUnknown), gateway, Ok("{\"ver"),
        Refusal(base::ErrorCode::kTimeout, base::ExecutionStatus::kUnknown)}) {
    FakeEntry entry;
    entry.apply_answers = {lost};
    entry.applies = true;
    entry.failing_reads = 2;
    Run run = RunTool(ApplySettings(), &entry, {"apply", file});
    CHECK(run.code == ExitCode::kOk);
    CHECK(run.out == "+ budget/small\n");
    CHECK_THAT(run.err, Catch::Contains("applied as version 6"));
  }
}

// Guards against claiming an outcome that nothing proves.
TEST_CASE("a lost answer without a trace in the history stays unknown") {
  Folder folder;
  std::string file = folder.Write("a.json", BudgetText(7));
  FakeEntry entry;
  entry.apply_answers = {Broken(base::Step::kRun, base::ExecutionStatus::kUnknown)};
  CtlSettings settings = ApplySettings();
  settings.change_token = "my-token";
  Run run = RunTool(settings, &entry, {"apply", file});
  CHECK(run.code == ExitCode::kUnknown);
  CHECK_THAT(run.err, Catch::Contains("outcome unknown") &&
                          Catch::Contains("--change_token=my-token"));
  CHECK(entry.requests.size() > 2);
}

// Guards against reading the history back for a change that was never sent or
// was refused, and against mixing up refusals and outages.
TEST_CASE("refusals and outages that prove no run are reported at once") {
  Folder folder;
  std::string file = folder.Write("a.json", BudgetText(7));
  struct Case {
    http::ClientResult answer;
    ExitCode code;
  };
  const std::vector<Case> cases = {
      {Broken(base::Step::kConnect, base::ExecutionStatus::kNotRun), ExitCode::kUnknown},
      {Refusal(base::ErrorCode::kUnavailable, base::ExecutionStatus::kNotRun),
       ExitCode::kUnknown},
      {Refusal(base::ErrorCode::kUnauthenticated, base::ExecutionStatus::kNotRun),
       ExitCode::kRefused},
      {Refusal(base::ErrorCode::kInvalidRequest, base::ExecutionStatus::kNotRun),
       ExitCode::kRefused},
      {Refusal(base::ErrorCode::kConflict, base::ExecutionStatus::kNotRun),
       ExitCode::kConflict},
  };
  for (const Case& item : cases) {
    FakeEntry entry;
    entry.apply_answers = {item.answer};
    Run run = RunTool(ApplySettings(), &entry, {"apply", file});
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
  Run run = RunTool(settings, &entry, {"get"});
  CHECK(run.code == ExitCode::kOk);
  CHECK(entry.requests.back() == "GET /admin/v1/config?version=3");
  config::ParsedObjects parsed = config::ParseObjects(run.out, "out");
  CHECK(parsed.errors.empty());
  CHECK(parsed.objects == entry.set.Objects());
  run = RunTool(settings, &entry, {"get", "budget", "pool/none"});
  CHECK(run.code == ExitCode::kRefused);
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
  Run run = RunTool({}, &entry, {"history"});
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
  CHECK(RunTool(settings, &entry, {"history"}).code == ExitCode::kRefused);
}

// Guards against program ids that reach another route of the entry.
TEST_CASE("status and program show print the entry's answer") {
  FakeEntry entry;
  Run run = RunTool({}, &entry, {"status"});
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
