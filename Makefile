.PHONY: check build test lint run demo sim soak crowd mutants fuzz faults virtual hard cluster-mutants cluster-demo measure-cluster sites clean

# What CI runs.
check: lint build test

# As deploy/balancer.toml builds it, so that what is tested is what is deployed: linked dynamically against the C library.
build:
	@command -v "$$(go env CC)" >/dev/null || { echo "make build: no C compiler ($$(go env CC)); the program is linked with it, as it is deployed: install gcc, or set CC" >&2; exit 1; }
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# What KNOWN-RED.txt names may fail, nothing else (go doc ./internal/knownred).
# Real processes beside other tests would run out of processor time: those packages come one after another, and the
# laboratory's stage plays two days at a time (each is some processes with the race detector). Crowds play against the program
# as it is released, two at a time, since they measure its memory.
PROCESSES = ./internal/lab/soak/days ./internal/clustertest/run ./internal/clustertest/hard ./internal/clustertest/mutants
test:
	go run ./internal/knownred KNOWN-RED.txt \
		-race -count=1 -timeout 5m $$(go list ./... | grep -v -E '/(clustertest/(run|hard|mutants)|lab/(stage|crowd|soak/days))$$') -- \
		-race -count=1 -parallel 2 -timeout 5m ./internal/lab/stage -- \
		-count=1 -parallel 2 -timeout 10m ./internal/lab/crowd -- \
		-count=1 -p 1 -timeout 10m $(PROCESSES) -- \
		-count=1 -timeout 10m ./internal/sim/runner

lint:
	@unformatted=$$(gofmt -l cmd decide internal wire); \
	if [ -n "$$unformatted" ]; then echo "not gofmt clean: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	go run ./internal/sourcecheck

# Needs the EDGE_ variables; README.md says which.
run: build
	exec bin/burlpass

# A short day of the laboratory with this program as the sidecars: what a newcomer runs first.
demo: build
	bin/burlpass-lab run scenarios/small-day.toml

# Ten thousand simulated days: the better part of an hour on four cores.
SEEDS ?= 10000
sim: build
	bin/burlpass-lab sim run --count $(SEEDS) --keep-on

# Days of random faults against 24 real sidecars, 30 s each (20 of them unless SEEDS is given), PARALLEL at once.
soak: build
	bin/burlpass-lab soak --seeds $(if $(filter file,$(origin SEEDS)),20,$(SEEDS)) --from $(FROM) --parallel $(PARALLEL)

# Crowds of hostile clients against one sidecar with little memory, 20 s each (50 of them unless SEEDS is given), PARALLEL at once.
crowd: build
	bin/burlpass-lab crowd --seeds $(if $(filter file,$(origin SEEDS)),50,$(SEEDS)) --from $(FROM) --parallel $(PARALLEL)

# Known faults put into the program, and after how many simulated days each is found: some minutes.
mutants: build
	bin/burlpass-lab sim mutants

FUZZTIME ?= 20s
fuzz:
	for f in FuzzRequest FuzzReply FuzzList FuzzReport; do \
		go test -run '^$$' -fuzz "^$$f$$" -fuzztime $(FUZZTIME) ./internal/protocol || exit 1; done
	for f in FuzzEntry FuzzRestore; do \
		go test -run '^$$' -fuzz "^$$f$$" -fuzztime $(FUZZTIME) ./internal/record || exit 1; done
	for f in FuzzConfig FuzzTOML; do \
		go test -run '^$$' -fuzz "^$$f$$" -fuzztime $(FUZZTIME) ./internal/program || exit 1; done
	go test -run '^$$' -fuzz '^FuzzDecode$$' -fuzztime $(FUZZTIME) ./internal/config

# Schedules of faults against a cluster of real processes, 60 s each (10 of them unless SEEDS is given), PARALLEL at once.
PARALLEL ?= 2
FROM ?= 1
faults:
	go run ./internal/clustertest/cmd/faults --seeds $(if $(filter file,$(origin SEEDS)),10,$(SEEDS)) --from $(FROM) --parallel $(PARALLEL)

# Known faults put into the cluster, and after how many runs of real processes each is found: some minutes.
cluster-mutants:
	go run ./internal/clustertest/cmd/mutants

# Schedules of faults against the cluster on virtual time, 60 s each (10 of them unless SEEDS is given): one or two a second.
virtual:
	go run ./internal/clustertest/cmd/virtual --seeds $(if $(filter file,$(origin SEEDS)),10,$(SEEDS)) --from $(FROM)

# The hard cases against real processes, those too that tests leave out: below two minutes.
hard:
	go test -count=1 -timeout 10m -v ./internal/clustertest/hard -args -long

# Three members of a cluster on loopback: an order outlives the leader and its disk. A few seconds.
cluster-demo: build
	go run ./internal/clustertest/demo

# Failovers, a write's way to observers, and a call's cost beside a cluster, with real processes: some ten minutes, on an
# otherwise quiet machine.
measure-cluster:
	go run ./internal/clustertest/cmd/measure failover
	for n in 10 100 300 1000; do go run ./internal/clustertest/cmd/measure observers --observers $$n || exit 1; done
	go run ./internal/clustertest/cmd/measure call

# What the operators' bench wants beside a site file: fixed names, the wire and the kinds of trouble. They belong to its
# kit, so git ignores them.
KIT ?= ../given/kit/more/mass/other
sites:
	cp $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt deploy/sites/
	chmod u+w deploy/sites/real.json deploy/sites/wire.json deploy/sites/unlock.txt

clean:
	rm -rf bin logs
