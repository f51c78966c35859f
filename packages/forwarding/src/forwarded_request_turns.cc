// The part of a request that concerns the conversation of a stateful route.

#include <memory>
#include <string_view>
#include <utility>

#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {
namespace {

constexpr std::string_view kNoRoomReason =
    "the memory for conversations is used up";

}  // namespace

void ForwardedRequest::FindPreviousTurn() {
  if (!route_->stateful)
    return ReserveBudget();
  if (profile_.request_id.empty())
    return SendLocalReply(400, "a turn needs an id");
  if (request_->body().size() > ConversationService::kMaxTurnBytes)
    return SendLocalReply(413, "the input is too long to be kept");
  framer_.KeepData();
  turn_room_ = context_.conversations.Admit(request_->body().size());
  if (!turn_room_)
    return Refuse(kNoRoomReason, kNotReadyRetryAfter);
  if (profile_.previous_turn.empty())
    return ReserveBudget();
  context_.conversations.Find(
      profile_.previous_turn, wait_limit(),
      [self = shared_from_this()](TurnLookup outcome,
                                  const conversation::TurnPtr& turn) {
        self->OnPreviousTurn(outcome, turn);
      });
}

void ForwardedRequest::OnPreviousTurn(TurnLookup outcome,
                                      const conversation::TurnPtr& turn) {
  if (done_)
    return;
  switch (outcome) {
    case TurnLookup::kFound:
      // To other organisations the turn does not exist.
      if (turn->organisation && turn->organisation != OrganisationName())
        return SendLocalReply(404, "no such turn");
      previous_turn_ = turn;
      return ReserveBudget();
    case TurnLookup::kMissing:
      return SendLocalReply(404, "no such turn");
    case TurnLookup::kUnavailable:
      return Refuse("the conversation cannot be read: the store is unavailable",
                    kNotReadyRetryAfter);
    case TurnLookup::kNoRoom:
      return Refuse(kNoRoomReason, kNotReadyRetryAfter);
  }
}

void ForwardedRequest::RecordTurn() {
  conversation::Turn turn;
  turn.id = profile_.request_id;
  turn.organisation = OrganisationName();
  turn.previous = previous_turn_;
  turn.input = request_->body();
  turn.output = framer_.data();
  turn.retention = route_->retention;
  context_.conversations.Record(
      std::move(turn), deadline_, [self = shared_from_this()](bool recorded) {
        if (self->done_)
          return;
        if (recorded)
          return self->FinishStream();
        self->Fail(502, "the turn could not be recorded");
      });
}

}  // namespace vanillalever::forwarding
