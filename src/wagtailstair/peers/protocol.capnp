# The datagrams and bulk answers between daemons. Only a codec: nothing of RPC.
@0xd2b7a7c1f0a94e53;

struct Datagram {
  sender @0 :Text;
  incarnation @1 :UInt64;
  receiver @2 :UInt64;      # the receiver's incarnation; 0 if not known
  messages @3 :List(Message);
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    viewRequest @1 :Void;
    view @2 :List(Host);
    submit @3 :Submit;
    queued @4 :UInt64;
    granted @5 :Granted;
    refused @6 :Refused;
    charge @7 :Charge;
    charged @8 :Charged;
    engineReport @9 :EngineReport;
    engineLost @10 :EngineLost;
    numbered @11 :Numbered;
    ack @12 :List(UInt32);
    engineLoad @13 :EngineLoad;
    reportRequest @14 :Text;
    engineUses @15 :EngineUses;
    crashSuspects @16 :CrashSuspects;
    engineFailed @17 :EngineLost;
    queueCounts @18 :QueueCounts;
  }
}

struct Host {
  name @0 :Text;
  dataCentre @1 :Text;
  ip @2 :Data;
  httpPort @3 :UInt16;
  peerPort @4 :UInt16;
  incarnation @5 :UInt64;
  models @6 :List(Text);
}

struct Heartbeat {
  dataCentre @0 :Text;
  ip @1 :Data;
  httpPort @2 :UInt16;
  peerPort @3 :UInt16;
  seq @4 :UInt32;
  state @5 :UInt8;
  listsVersion @6 :UInt64;
  view @7 :UInt32;
  models @8 :List(Text);
  listsExcess @9 :UInt64;     # known above listsVersion
  upstreamsVersion @10 :UInt64;
  storeAway @11 :Bool;
  storeEra @12 :UInt64;       # to which upstreamsVersion belongs
}

struct Want {
  account @0 :Text;
  priority @1 :UInt8;
  entitled @2 :Bool = true;
  weight @3 :Float32 = 1.0;
  work @4 :Float32;
  promptTokens @5 :UInt32;
  maxTokens @6 :UInt32;
  remainingMs @7 :UInt32;
  adapter @8 :Text;
  prefixes @9 :List(UInt64);
  avoid @10 :List(Text);
}

struct Pool {
  model @0 :Text;
  dataCentre @1 :Text;
}

struct Stage {
  engine @0 :Text;
  address @1 :Text;
  first @2 :UInt16;
  last @3 :UInt16;
}

struct Submit {
  handle @0 :UInt64;
  pool @1 :Pool;
  want @2 :Want;
}

struct Granted {
  handle @0 :UInt64;
  route @1 :List(Stage);
}

struct Refused {
  handle @0 :UInt64;
  reason @1 :UInt8;
  retryAfterS @2 :Float32;
}

struct Charge {
  handle @0 :UInt64;
  account @1 :Text;
  work @2 :Float32;
  workPerS @3 :Float32;
  burstS @4 :Float32;
  maxConcurrent @5 :UInt32;
  adopt @6 :Bool;
}

struct Charged {
  handle @0 :UInt64;
  limit @1 :UInt8;
  retryAfterS @2 :Float32;
}

struct EngineReport {
  name @0 :Text;
  incarnation @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
  model @4 :Text;
  version @5 :Text;
  role @6 :Text;
  accelerator @7 :Text;
  first @8 :UInt16;
  last @9 :UInt16;
  layers @10 :UInt16;
  slots @11 :UInt16;
  running @12 :UInt16;
  waiting @13 :UInt16;
  kvTokens @14 :UInt32;
  kvUsed @15 :UInt32;
  stepS @16 :Float32;
  prefillTokensPerS @17 :Float32;
  leaving @18 :Bool;
  fencingChecked @19 :Bool;
  order @20 :UInt64;
  adapters @21 :List(Text);
  links @22 :List(Link);
  ageMs @23 :UInt32;
}

struct Link {
  dataCentre @0 :Text;
  seconds @1 :Float32;
}

struct EngineLoad {
  name @0 :Text;
  incarnation @1 :UInt32;   # a checksum of it
  running @2 :UInt16;
  waiting @3 :UInt16;
  kvUsed @4 :UInt32;
  stepS @5 :Float32;
  ageMs @6 :UInt16;
}

struct EngineUses {           # columns: one entry an engine
  source @0 :Text;
  isCentre @1 :Bool;
  keys @2 :List(UInt32);
  running @3 :List(UInt16);
  held @4 :List(UInt32);
  heads @5 :List(UInt16);
  unread @6 :List(UInt16);  # thousands of token-layers; empty in older builds
}

struct QueueCounts {          # columns: one entry a rank
  sequence @0 :UInt32;
  waiting @1 :List(UInt16);
  waitingWork @2 :List(UInt32);
  startedWork @3 :List(UInt32);
  starts @4 :UInt32;
  accounts @5 :List(AccountWork);
}

struct AccountWork {
  account @0 :Text;
  work @1 :UInt32;
}

struct CrashSuspects {
  obsoleteSuspects @0 :List(SuspectPart);
  sound @1 :List(Part);
  parts @2 :List(Part);
  candidates @3 :List(CrashCandidate);
  trials @4 :List(UInt64);
}

# A request that may have crashed an engine; its parts are places in the list `parts`.
struct CrashCandidate {
  engine @0 :UInt32;
  ageMs @1 :UInt32;
  weight @2 :UInt8;
  parts @3 :List(UInt16);
}

struct Part {
  service @0 :Text;
  part @1 :Text;
}

struct SuspectPart {
  service @0 :Text;
  part @1 :Text;
  engines @2 :List(UInt32);
  weights @3 :List(UInt8);
  ageMs @4 :UInt32;
}

struct EngineLost {
  name @0 :Text;
  incarnation @1 :Text;
}

struct Numbered {
  number @0 :UInt32;
  union {
    withdraw @1 :Withdraw;
    finished @2 :Finished;
    held @3 :Held;
    reset @4 :UInt32;
    charge @5 :Charge;
    settle @6 :Settle;
  }
}

struct Withdraw {
  handle @0 :UInt64;
  pool @1 :Pool;
}

struct Finished {
  handle @0 :UInt64;
  pool @1 :Pool;
  promptTokens @2 :UInt32;
  outputTokens @3 :UInt32;
  failed @4 :List(Text);
}

struct Held {
  handle @0 :UInt64;
  pool @1 :Pool;
  want @2 :Want;
  route @3 :List(Stage);
  tokensDone @4 :UInt32;
}

struct Settle {
  handle @0 :UInt64;
  work @1 :Float32;
}

# Bulk answers, over HTTP.

struct Lists {
  version @0 :UInt64;
  after @1 :UInt64;         # 0: all rows; otherwise the rows changed since
  rows @2 :List(Row);
}

struct Row {
  table @0 :Text;
  key @1 :Text;
  version @2 :Int64;        # of the row; negative: not known
  value @3 :Data;           # JSON; empty: deleted
}
