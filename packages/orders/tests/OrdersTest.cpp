#define BOOST_TEST_MODULE orders
#include <boost/test/unit_test.hpp>

#include "orders/Orders.h"

using namespace pimento;

namespace {

OrderCommand begin(const char *Engine, const char *Model) {
  OrderCommand C;
  C.Kind = OrderCommandKind::Begin;
  C.Backend = BackendId(Engine);
  C.Incarnation = 1;
  C.Name = Model;
  C.LoadLimit = 2;
  return C;
}

/// An issuer whose commands are committed at once. Its calls are never
/// answered.
struct IssuerFixture {
  OrderIssuer I;
  OrderBook Book;
  WantedModels Wanted;
  std::map<std::string, BackendRecord> Records;
  std::map<ModelName, ModelDemand> Demand;
  std::uint64_t Revision = 1;
  TimePoint Now{hours(1)};
  OrderEffects Last; // Effects of the last tick.

  void want(const char *Model, std::uint32_t Replicas, const char *Extra = "") {
    WantedModel &M = Wanted[ModelName(Model)];
    M.Name = ModelName(Model);
    M.Replicas = Replicas;
    if (*Extra)
      M.Extras = {ModelName(Extra)};
  }
  BackendRecord &engine(const char *Id, const std::vector<const char *> &Models,
                        const char *DataCentre = "north") {
    BackendRecord &R = Records[Id];
    R.Id = BackendId(Id);
    R.Incarnation = 1;
    R.Address = "127.0.0.1:1";
    R.DataCentre = DataCentreId(DataCentre);
    R.Models.clear();
    for (const char *Name : Models)
      R.Models.emplace_back(Name);
    return R;
  }
  void target(const char *Id, const char *Base) {
    OrderCommand C;
    C.Kind = OrderCommandKind::Target;
    C.Backend = BackendId(Id);
    C.Base = ModelName(Base);
    C.Revision = Revision;
    C.At = wall();
    apply(Book, C);
  }
  Duration wall() const { return Now.time_since_epoch(); }
  void lead() { startIssuing(I, I.Term + 1, Book, Now); }
  void tick(Duration Step = milliseconds(100)) {
    Now += Step;
    std::vector<const BackendRecord *> Engines;
    for (const auto &Entry : Records)
      Engines.push_back(&Entry.second);
    std::set<BackendId> Ignores;
    OrderInput In{Book,     Wanted, Engines,          Ignores, Demand,
                  Revision, wall(), Now + seconds(1), true};
    Last = OrderEffects();
    tickOrders(I, In, Now, Last);
    for (const OrderProposal &P : Last.Proposals)
      onCommitted(I, P.Ticket, apply(Book, P.Command), Now);
  }
  void runFor(Duration Time) {
    for (TimePoint End = Now + Time; Now < End;)
      tick();
  }
  std::size_t open() const { return orderFigures(Book).Open; }
  std::string base(const char *Id) const {
    const EngineBook *E = findEngine(Book, BackendId(Id));
    return E ? E->Base.Value : "";
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Book)

// Two open orders at one engine could take effect in any order, and further
// loads would overload the weight store. A load that is being undone still
// counts.
BOOST_AUTO_TEST_CASE(OneOpenOrderPerEngineAndOneLoadLimit) {
  OrderBook B;
  BOOST_CHECK_EQUAL(apply(B, begin("e1", "atlas")).Fence, 1U);
  BOOST_CHECK(!apply(B, begin("e1", "boreas")).Accepted);
  BOOST_CHECK(apply(B, begin("e2", "atlas")).Accepted);
  BOOST_CHECK(!apply(B, begin("e3", "atlas")).Accepted);
  OrderCommand Undo = begin("e1", "atlas");
  Undo.Order = OrderKind::Unload;
  Undo.Replaces = 1;
  BOOST_CHECK_EQUAL(apply(B, Undo).Fence, 3U);
  // The unload that undoes the load keeps its share.
  BOOST_CHECK_EQUAL(openLoads(B), 2U);
  OrderCommand End;
  End.Kind = OrderCommandKind::End;
  End.Backend = BackendId("e1");
  End.Fence = 1;
  BOOST_CHECK(!apply(B, End).Accepted);
  End.Fence = 3;
  BOOST_CHECK(apply(B, End).Accepted);
  BOOST_CHECK_EQUAL(openLoads(B), 1U);
}

// An engine refuses an order whose number is lower than one it has seen.
BOOST_AUTO_TEST_CASE(FencingNumbersExceedWhatAnEngineHasSeen) {
  OrderBook B;
  OrderCommand C = begin("e1", "atlas");
  C.Floor = 41;
  BOOST_CHECK_EQUAL(apply(B, C).Fence, 42U);
  BOOST_CHECK_EQUAL(apply(B, begin("e2", "atlas")).Fence, 43U);
}

// A replica that restores a snapshot must know the same open orders, effects
// and last fencing number as the others.
BOOST_AUTO_TEST_CASE(CommandsAndBooksSurviveEncoding) {
  OrderBook B;
  OrderCommand C = begin("e1", "atlas");
  C.Floor = 7;
  C.At = hours(24 * 365 * 50);
  std::string Bytes = encodeCommand(C);
  BOOST_CHECK(isOrderCommand(Bytes));
  BOOST_CHECK(!isOrderCommand("x"));
  apply(B, *decodeOrderCommand(Bytes));
  OrderCommand End;
  End.Kind = OrderCommandKind::End;
  End.Backend = C.Backend;
  End.Fence = 8;
  End.Incarnation = 1;
  apply(B, End);
  apply(B, begin("e2", "atlas"));
  OrderBook Read = *decodeBook(encodeBook(B));
  BOOST_CHECK_EQUAL(encodeBook(Read), encodeBook(B));
  BOOST_CHECK_EQUAL(Read.LastFence, 9U);
  BOOST_CHECK(wasLoaded(findEngine(Read, C.Backend), 1, ModelName("atlas")));
  BOOST_CHECK(!wasLoaded(findEngine(Read, C.Backend), 2, ModelName("atlas")));
  BOOST_CHECK(findEngine(Read, BackendId("e2"))->Open);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Issuer)

// Two engines that each count the other as the remaining copy would both
// unload the model.
BOOST_AUTO_TEST_CASE(TwoEnginesNeverUnloadTheSameLastCopies) {
  IssuerFixture B;
  B.want("atlas", 1, "atlas-crew");
  B.want("boreas", 2);
  B.engine("e1", {"atlas", "atlas-crew"});
  B.engine("e2", {"atlas", "atlas-crew"});
  B.engine("e3", {"atlas"});
  B.target("e1", "boreas");
  B.target("e2", "boreas");
  B.lead();
  B.tick();
  std::size_t Unloads = 0;
  for (int I = 0; I < 20; ++I) {
    for (const OrderProposal &P : B.Last.Proposals)
      Unloads += P.Command.Order == OrderKind::Unload &&
                 P.Command.Name == "atlas-crew";
    B.tick();
  }
  // Only one unload, both within one plan and while the first one is open.
  BOOST_CHECK_EQUAL(Unloads, 1U);
}

// An order at an engine that never returns would stay open for ever. An engine
// that is missing for a short time must be able to finish its order.
BOOST_AUTO_TEST_CASE(OrderAtADepartedEngineEnds) {
  IssuerFixture B;
  B.want("atlas", 1);
  OrderCommand C = begin("e1", "atlas");
  C.Order = OrderKind::Unload;
  C.At = B.wall() - hours(1); // The order's limit has passed long ago.
  apply(B.Book, C);
  B.lead();
  B.runFor(B.I.Config.OrderLimit - milliseconds(200));
  BOOST_CHECK_EQUAL(B.open(), 1U); // The engine may still return.
  B.runFor(seconds(2));
  BOOST_CHECK_EQUAL(B.open(), 0U);
}

// A target without a role must leave the engine's role unchanged.
BOOST_AUTO_TEST_CASE(RoleIsOrderedOnlyIfTheTargetNamesOne) {
  IssuerFixture B;
  B.want("atlas", 1);
  B.engine("e1", {"atlas"});
  B.lead();
  B.runFor(seconds(1));
  BOOST_CHECK_EQUAL(B.open(), 0U);
  OrderCommand C;
  C.Kind = OrderCommandKind::Target;
  C.Backend = BackendId("e1");
  C.Base = ModelName("atlas");
  C.Role = "prefill";
  apply(B.Book, C);
  B.runFor(seconds(1));
  BOOST_REQUIRE_EQUAL(B.open(), 1U);
  const EngineBook *E = findEngine(B.Book, BackendId("e1"));
  BOOST_CHECK(E->Open->Kind == OrderKind::Role);
  BOOST_CHECK_EQUAL(E->Open->Name, "prefill");
}

// Engines may offer models that no document names, and those must not be
// unloaded. A model that is named but has no wanted engine is unloaded.
BOOST_AUTO_TEST_CASE(ModelsOutsideAllDocumentsAreKept) {
  IssuerFixture B;
  B.want("atlas", 1);
  B.want("boreas", 0);
  B.engine("e1", {"atlas", "own-model"});
  B.engine("e2", {"boreas"});
  B.lead();
  B.runFor(seconds(1));
  BOOST_CHECK_EQUAL(B.open(), 1U); // No document wants boreas.
  BOOST_CHECK_EQUAL(findEngine(B.Book, BackendId("e2"))->Open->Name, "boreas");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Plans)

// With too few engines, a model that wants many must not leave others without
// any.
BOOST_AUTO_TEST_CASE(ShortageIsDistributedOverModels) {
  IssuerFixture B;
  B.want("atlas", 6);
  B.want("boreas", 2);
  B.want("ceres", 1);
  for (const char *Id : {"e1", "e2", "e3", "e4", "e5"})
    B.engine(Id, {"atlas"});
  B.lead();
  B.tick();
  std::map<std::string, int> Moved;
  for (const char *Id : {"e1", "e2", "e3", "e4", "e5"})
    ++Moved[B.base(Id)];
  // Nine engines are wanted and five exist. Each model gets one; the other two
  // are distributed by the further engines wanted (5 to 1 to 0) and both go to
  // atlas.
  BOOST_CHECK_EQUAL(Moved[""], 3);
  BOOST_CHECK_EQUAL(Moved["boreas"], 1);
  BOOST_CHECK_EQUAL(Moved["ceres"], 1);
}

// A second copy in the same data centre would be lost together with the first.
BOOST_AUTO_TEST_CASE(EngineIsChosenInTheDataCentreWithFewestCopies) {
  IssuerFixture B;
  B.want("atlas", 2);
  B.engine("e1", {"atlas"}, "north");
  B.engine("e2", {}, "north");
  B.engine("e3", {}, "south");
  B.lead();
  B.tick();
  BOOST_CHECK_EQUAL(B.base("e3"), "atlas");
  BOOST_CHECK_EQUAL(B.base("e2"), "");
}

// A model with all engines in one data centre would be lost with it, even if it
// has as many engines as wanted.
BOOST_AUTO_TEST_CASE(TwoEnginesAreSpreadOverTwoDataCentres) {
  IssuerFixture B;
  B.want("atlas", 2);
  B.engine("e1", {"atlas"}, "north");
  B.engine("e2", {"atlas"}, "north");
  B.engine("e3", {}, "south");
  B.lead();
  B.tick();
  BOOST_CHECK_EQUAL(B.base("e3"), "atlas");
}

// A short burst must not move an engine, and demand that alternates must not
// move engines back and forth.
BOOST_AUTO_TEST_CASE(LastingBacklogMovesASpareEngine) {
  IssuerFixture B;
  B.want("atlas", 1);
  B.want("boreas", 1);
  B.engine("e1", {"atlas"});
  B.engine("e2", {"boreas"});
  B.engine("e3", {"boreas"});
  B.Demand[ModelName("atlas")] = {50, 1};
  B.Demand[ModelName("boreas")] = {0, 2};
  B.lead();
  B.runFor(BacklogTime - seconds(1));
  BOOST_CHECK_EQUAL(B.base("e2") + B.base("e3"), "");
  B.runFor(seconds(2));
  BOOST_CHECK_EQUAL(B.base("e2") + B.base("e3"), "atlas");
  // After the demand has reversed, the wanted numbers and the hold window
  // prevent a move back.
  B.Demand[ModelName("atlas")] = {0, 2};
  B.Demand[ModelName("boreas")] = {50, 1};
  B.runFor(seconds(60));
  BOOST_CHECK_EQUAL(B.base("e1") + B.base("e2") + B.base("e3"), "atlas");
}

// The hold window limits changes by demand. A change that a document edit
// requires must not wait for its end.
BOOST_AUTO_TEST_CASE(DocumentEditMovesAnEngineWithinTheHoldWindow) {
  IssuerFixture B;
  B.want("atlas", 1);
  B.want("boreas", 1);
  B.engine("e1", {"atlas"});
  B.engine("e2", {"atlas"});
  B.target("e2", "atlas");
  B.lead();
  B.runFor(seconds(5));
  // This engine has never been moved, so no hold window applies.
  BOOST_CHECK_EQUAL(B.base("e1"), "boreas");
  B.want("atlas", 0);
  B.want("ceres", 1);
  ++B.Revision;
  B.runFor(seconds(5));
  BOOST_CHECK_EQUAL(B.base("e2"), "ceres");
}

BOOST_AUTO_TEST_SUITE_END()
