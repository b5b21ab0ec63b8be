# Building needs GNU make, a C compiler and the packages listed in PACKAGES.

PACKAGES = libuv1-dev libtirpc-dev rpcsvc-proto libglib2.0-dev \
	libcunit1-dev libjson-c-dev libxxhash-dev libhttp-parser-dev libgsl-dev libssl-dev \
	pkg-config gnuplot-nox
MODULES = libuv libtirpc glib-2.0 json-c libxxhash gsl openssl
PROGRAMS = cowslipcoved cowslipctl cowslipload
PREFIX = /usr/local
CC = gcc

ifdef SAN
BUILD = build-san
SANFLAGS = -fsanitize=address,undefined -fno-omit-frame-pointer
else
BUILD = build
endif

CFLAGS = -O2 -g
STRICT = -Wall -Wextra -Werror
CPPFLAGS = -D_GNU_SOURCE -Ilibcowslip -Iplatform -Iproto -Icowslipcoved -Istandin -Iregress \
	-Icowslipload
MODFLAGS = $(shell pkg-config --cflags $(MODULES))
LIBS = $(shell pkg-config --libs $(MODULES)) -lhttp_parser -lm -lpthread
COMPILE = @$(CC) -std=gnu11 $(CFLAGS) $(SANFLAGS) $(STRICT) $(CPPFLAGS) \
	$(MODFLAGS) -MMD -MP

LIB_SRC = $(wildcard libcowslip/*.c)
GEN_SRC = proto/cowslip_xdr.c
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o) $(GEN_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libcowslip.a
DAEMON_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard cowslipcoved/*.c platform/*.c))
CTL_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard cowslipctl/*.c))
LOAD_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard cowslipload/*.c))
# The load tool knows what the stand-ins answer and how to read their records.
LOAD_SHARED = $(BUILD)/standin/answer.o $(BUILD)/regress/invariants.o
# Each standin/NAME/ is one program; standin/*.c is shared by all of them.
STANDIN_DIRS = $(wildcard standin/*/)
STANDINS = $(patsubst standin/%/,$(BUILD)/standin-%,$(STANDIN_DIRS))
STANDIN_SHARED = $(patsubst %.c,$(BUILD)/%.o,$(wildcard standin/*.c))
# Each regress/NAME_test.c or NAME_script.c is one program.
TESTS = $(patsubst regress/%.c,$(BUILD)/regress/%,\
	$(wildcard regress/*_test.c regress/*_script.c))
TEST_SHARED = $(patsubst %.c,$(BUILD)/%.o,\
	$(filter-out %_test.c %_script.c,$(wildcard regress/*.c)))
# Parts of the daemon that tests link: all but its main.
DAEMON_PARTS = $(BUILD)/libcowslipcoved.a
# Parts of the load tool that tests link.
LOAD_PARTS = $(BUILD)/libcowslipload.a
OUR_C = $(LIB_SRC) $(wildcard cowslipcoved/*.c platform/*.c cowslipctl/*.c \
	cowslipload/*.c standin/*.c standin/*/*.c regress/*.c)
OUR_H = $(filter-out proto/%,$(wildcard libcowslip/*.h cowslipcoved/*.h platform/*.h \
	cowslipctl/*.h cowslipload/*.h standin/*.h standin/*/*.h regress/*.h))
BINARIES = $(foreach p,$(PROGRAMS),$(if $(wildcard $p/main.c),$(BUILD)/$p/$p))

all: $(BINARIES) $(STANDINS)

deps:
	@for p in $(PACKAGES); do \
	  dpkg -s $$p >/dev/null 2>&1 || missing="$$missing $$p"; done; \
	if [ -n "$$missing" ]; then \
	  apt-get update -qq && apt-get install -y -qq $$missing; fi

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(COMPILE) -c -o $@ $<

# rpcgen's output leaves variables unused.
$(BUILD)/proto/%.o: STRICT = -Wall -Wno-unused-variable

$(LIB): $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

$(DAEMON_PARTS): $(filter-out %/main.o,$(DAEMON_OBJ))
	rm -f $@
	ar rcs $@ $^

$(LOAD_PARTS): $(filter-out %/main.o,$(LOAD_OBJ)) $(BUILD)/standin/answer.o
	rm -f $@
	ar rcs $@ $^

$(BUILD)/cowslipcoved/cowslipcoved: $(BUILD)/cowslipcoved/main.o \
		$(DAEMON_PARTS) $(LIB)
	$(CC) $(CFLAGS) $(SANFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/cowslipctl/cowslipctl: $(CTL_OBJ) $(LIB)
	$(CC) $(CFLAGS) $(SANFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/cowslipload/cowslipload: $(LOAD_OBJ) $(LOAD_SHARED) $(LIB)
	$(CC) $(CFLAGS) $(SANFLAGS) -o $@ $^ $(LIBS)

.SECONDEXPANSION:
# patsubst cannot be used here: make replaces its % by the stem.
$(BUILD)/standin-%: \
		$$(addprefix $(BUILD)/,$$(addsuffix .o,$$(basename $$(wildcard standin/$$*/*.c)))) \
		$(STANDIN_SHARED) $(LIB)
	$(CC) $(CFLAGS) $(SANFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/libregress.a: $(filter-out $(BUILD)/regress/clm_sim%,$(TEST_SHARED))
	rm -f $@
	ar rcs $@ $^

$(BUILD)/regress/clm_test: $(BUILD)/regress/clm_test.o \
		$(filter $(BUILD)/regress/clm_sim%,$(TEST_SHARED)) $(BUILD)/libregress.a $(LIB)
	$(CC) $(CFLAGS) $(SANFLAGS) -o $@ $^ $(LIBS) -lcunit

$(BUILD)/regress/%: $(BUILD)/regress/%.o $(BUILD)/libregress.a \
		$(DAEMON_PARTS) $(LOAD_PARTS) $(LIB)
	$(CC) $(CFLAGS) $(SANFLAGS) -o $@ $^ $(LIBS) -lcunit

check: deps
	$(MAKE) all tests
	BUILD=$(BUILD) sh regress/check.sh

tests: $(TESTS)

demo: deps
	$(MAKE) all
	BUILD=$(BUILD) sh demo/run.sh

# Measures the policy against the baseline and draws the results into
# docs/plots/.  Takes about a quarter of an hour.
measures: all
	BUILD=$(BUILD) sh cowslipload/measure.sh haneul docs/plots
	BUILD=$(BUILD) sh cowslipload/measure.sh maison docs/plots
	sh cowslipload/measure_table.sh docs/plots haneul maison

# Draws the plot of a file that cowslipload -p wrote: make plot PLOT=FILE.gp
plot:
	gnuplot $(PLOT)

format:
	clang-format -i $(OUR_C) $(OUR_H)

format-check:
	clang-format --dry-run -Werror $(OUR_C) $(OUR_H)

# Only files that changed since the last clean run are read again.
tidy: $(OUR_C:%.c=build/tidy/%.ok)

build/tidy/%.ok: %.c .clang-tidy $(OUR_H)
	@mkdir -p $(@D)
	clang-tidy --quiet $< -- -std=gnu11 $(CPPFLAGS) $(MODFLAGS) 2>$@.err \
	  || { cat $@.err; exit 1; }
	@touch $@

# The output is committed, so that a build needs no generator.
proto:
	cd proto && rm -f cowslip.h cowslip_xdr.c && \
	  rpcgen -C -h -o cowslip.h cowslip.x && \
	  rpcgen -C -c -o cowslip_xdr.c cowslip.x

# What runs on the users' platform; see deploy/system.toml.
platform-build: BUILD = target/build
platform-build:
	$(MAKE) BUILD=target/build target/build/cowslipcoved/cowslipcoved
	cp target/build/cowslipcoved/cowslipcoved target/cowslipcoved.new
	mv -f target/cowslipcoved.new target/cowslipcoved

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 \
	  $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 755 $(BINARIES) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(wildcard cowslipctl/*.1 cowslipload/*.1) \
	  $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 $(wildcard cowslipcoved/*.8) \
	  $(DESTDIR)$(PREFIX)/share/man/man8

clean:
	rm -rf build build-san

.PHONY: all platform-build deps check tests demo measures plot format format-check tidy proto install clean
.PRECIOUS: $(BUILD)/%.o

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
