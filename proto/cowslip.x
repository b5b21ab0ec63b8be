/* Messages between instances.  Regenerate with "make proto".  */

const COWSLIP_NAME_MAX = 128;
const COWSLIP_LIST_MAX = 4096;
const COWSLIP_DOCUMENT_MAX = 1000000;
const COWSLIP_BODY_MAX = 65536;
const COWSLIP_ENTRY_MAX = 131072;
const COWSLIP_ENTRIES_MAX = 64;
const COWSLIP_KEY_MAX = 200;
const COWSLIP_STREAMS_MAX = 8;

typedef string cs_name<COWSLIP_NAME_MAX>;
typedef string cs_key<COWSLIP_KEY_MAX>;

struct cs_member
{
  cs_name instance;
  cs_name zone;
  cs_name rpc_address;
  cs_name http_address;
  unsigned int number;
  unsigned hyper incarnation;
};

/* Load of one engine as its reader saw it; mem_load_pack fills both.  */
struct cs_load
{
  unsigned hyper endpoint; /* XXH3 hash of the address */
  unsigned int packed;     /* running, waiting, age */
};

struct cs_suspect
{
  unsigned hyper fingerprint;
  unsigned int crashes;
  unsigned int age_ms;
};

struct cs_demand
{
  cs_name model;
  unsigned int waiting;
  unsigned int earliest_ms; /* until the earliest deadline */
  int priority;
  unsigned int arrivals; /* requests since the last report */
};

/* What both kinds of heartbeats say.  */
struct cs_beat
{
  unsigned int number;   /* ascends with each heartbeat of the sender */
  unsigned int previous; /* the heartbeat that LOADS change; 0: all loads */
  unsigned hyper generation;
  unsigned hyper fence; /* highest that the sender has seen */
  bool draining;
  cs_load loads<COWSLIP_LIST_MAX>;
  cs_name leaving<COWSLIP_LIST_MAX>;
  cs_suspect suspects<COWSLIP_LIST_MAX>;
};

/* A whole heartbeat: who the sender is, and all loads.  */
struct cs_heartbeat
{
  cs_member sender;
  cs_beat beat;
};

struct cs_heartbeat_reply
{
  unsigned hyper incarnation;
  unsigned hyper generation;
};

/* A history entry as it stands in the key-value service.  */
struct cs_entry
{
  opaque value<COWSLIP_ENTRY_MAX>;
};

/* GENERATION and DIGEST are in force at the asker; 0: the whole document is
   wanted.  */
struct cs_document_request
{
  cs_name environment;
  unsigned hyper generation;
  cs_name digest;
};

/* Either the entries that lead from the asker's generation to GENERATION, or
   the whole text; neither if the asker has it already.  */
struct cs_document
{
  unsigned hyper generation; /* 0: none known */
  cs_name digest;
  cs_entry entries<COWSLIP_ENTRIES_MAX>;
  opaque text<COWSLIP_DOCUMENT_MAX>;
};

struct cs_demand_report
{
  cs_name instance;
  unsigned hyper incarnation;
  cs_demand demands<COWSLIP_LIST_MAX>;
};

struct cs_replica
{
  cs_name model;
  cs_name endpoint;
  unsigned int state;
  unsigned int ready_ms;
};

struct cs_removed
{
  cs_name model;
  cs_name endpoint;
};

struct cs_view
{
  cs_name zone;
  unsigned hyper fence;
  unsigned hyper base; /* changes since then; 0: everything */
  unsigned hyper sequence;
  cs_replica replicas<COWSLIP_LIST_MAX>;
  cs_removed removed<COWSLIP_LIST_MAX>;
};

/* The view that the receiver holds now.  */
struct cs_view_reply
{
  unsigned hyper fence; /* 0: none */
  unsigned hyper sequence;
};

struct cs_quiesce
{
  unsigned hyper fence;
  unsigned hyper sequence; /* of the oldest view that may answer */
  cs_name model;
  cs_name endpoint;
};

struct cs_quiesce_reply
{
  bool accepted;
  unsigned int in_flight;
};

struct cs_promise
{
  cs_name holder;
  unsigned hyper fence;
  unsigned int duration_ms;
};

struct cs_promise_reply
{
  bool promised;
};

enum cs_claim_kind
{
  CS_CLAIM_OPEN = 0,
  CS_CLAIM_COMPLETE = 1,
  CS_CLAIM_RELEASE = 2
};

struct cs_claim
{
  cs_claim_kind kind;
  cs_name key; /* "SERVICE/HASH" */
  unsigned hyper claim_id;
  unsigned hyper request_digest;
  cs_name owner;
  unsigned hyper owner_incarnation;
  unsigned int status;          /* CS_CLAIM_COMPLETE */
  cs_name content_type;         /* CS_CLAIM_COMPLETE */
  opaque body<COWSLIP_BODY_MAX>; /* CS_CLAIM_COMPLETE */
};

enum cs_claim_outcome
{
  CS_CLAIM_GRANTED = 0,     /* written, or found written by this claim */
  CS_CLAIM_HELD = 1,        /* open, by the owner given here */
  CS_CLAIM_DONE = 2,        /* completed earlier; answer given here */
  CS_CLAIM_UNAVAILABLE = 3, /* nothing was written */
  CS_CLAIM_UNKNOWN = 4      /* the effect is not known */
};

struct cs_claim_reply
{
  cs_claim_outcome outcome;
  unsigned hyper request_digest;
  cs_name owner;
  unsigned hyper owner_incarnation;
  unsigned int status;
  cs_name content_type;
  opaque body<COWSLIP_BODY_MAX>;
};

struct cs_suspects
{
  cs_suspect suspects<COWSLIP_LIST_MAX>;
};

/* What an instance saw of the requests for a model or MODEL/ADAPTER.  */
struct cs_residency_item
{
  cs_name name;
  unsigned int arrivals; /* since its last report */
  unsigned int active;
  unsigned int waiting;
  unsigned int oldest_ms;
};

struct cs_residency_report
{
  cs_residency_item items<COWSLIP_LIST_MAX>;
};

/* What the leader tells of an engine; NEWS as in enum flt_news.  */
struct cs_residency_news
{
  cs_name endpoint;
  unsigned hyper started_ms;
  unsigned int news;
  cs_name model;
  cs_name adapter; /* empty: the model */
};

/* A change in the key-value store.  KIND as in enum rly_kind.  */
struct cs_relay_change
{
  cs_key key;
  unsigned int kind;
  hyper revision;
  opaque value<COWSLIP_ENTRY_MAX>;
};

/* Changes of the keys with a prefix, and the sender's state after them.  */
struct cs_relay_stream
{
  cs_key prefix;
  hyper revision;          /* all earlier changes were relayed */
  unsigned hyper digest;   /* of all keys and values; see rly_stream.c */
  bool comparable;         /* DIGEST includes all changes up to REVISION */
  cs_relay_change changes<COWSLIP_LIST_MAX>;
};

/* RANK is the sender's position among the instances that may relay.  */
struct cs_relay
{
  unsigned int rank;
  bool blind; /* the store no longer answers the sender */
  cs_relay_stream streams<COWSLIP_STREAMS_MAX>;
};

/* A crash that requests with a trait may have caused; see blm.h.  */
struct cs_crash
{
  unsigned hyper trait;
  unsigned hyper crash;
  unsigned hyper place;
  unsigned hyper request;
  unsigned int age_ms;
};

/* A request with a suspected trait was answered.  */
struct cs_sound
{
  unsigned hyper trait;
  unsigned int age_ms;
};

struct cs_crash_report
{
  cs_crash crashes<COWSLIP_LIST_MAX>;
  cs_sound sound<COWSLIP_LIST_MAX>;
  unsigned hyper retracted<COWSLIP_LIST_MAX>; /* the process lives */
};

/* An endpoint has said that it leaves.  */
struct cs_endpoint_leaving
{
  cs_name endpoint;
  unsigned hyper started_ms;
};

/* An endpoint wants no requests of the sender for some time.  */
struct cs_endpoint_pause
{
  cs_name endpoint;
  unsigned hyper started_ms;
  unsigned int pause_ms;
};

program COWSLIP_PROGRAM
{
  version COWSLIP_VERSION
  {
    cs_heartbeat_reply COWSLIP_HEARTBEAT (cs_heartbeat) = 1;
    cs_document COWSLIP_GET_DOCUMENT (cs_document_request) = 2;
    void COWSLIP_DEMAND (cs_demand_report) = 3;
    cs_view_reply COWSLIP_VIEW (cs_view) = 4;
    cs_quiesce_reply COWSLIP_QUIESCE (cs_quiesce) = 5;
    cs_promise_reply COWSLIP_PROMISE (cs_promise) = 6;
    cs_claim_reply COWSLIP_CLAIM (cs_claim) = 7;
    void COWSLIP_SUSPECT (cs_suspects) = 8;
    /* One-way; only the loads that differ from the heartbeat before.  */
    void COWSLIP_BEAT (cs_beat) = 9;
    /* One-way; the gateway's instances to the leader, and back.  */
    void COWSLIP_RESIDENCY_REPORT (cs_residency_report) = 10;
    void COWSLIP_RESIDENCY_NEWS (cs_residency_news) = 11;
    /* 12 was the beacon of the leader.  */
    void COWSLIP_RELAY (cs_relay) = 13;
    /* One-way; to the instances of the group and the leader, and back.  */
    void COWSLIP_CRASHES (cs_crash_report) = 14;
    void COWSLIP_ENDPOINT_LEAVING (cs_endpoint_leaving) = 15;
    /* One-way; to the leader.  */
    void COWSLIP_ENDPOINT_PAUSE (cs_endpoint_pause) = 16;
  } = 1;
} = 0x20c05110;
