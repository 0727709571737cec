# Soak test of real gateways with injected faults.

SOAK_SEEDS ?= 50
SOAK_FIRST ?= 1
SOAK_PARALLEL ?= 4

.PHONY: soak soak-fresh soak-budget

soak: ## run SOAK_SEEDS seeds of real gateways with injected faults and check their histories
	@$(GO) build -o $(BIN)/ ./cmd/sesame-gateway ./cmd/sesame-soak
	@$(BIN)/sesame-soak --bin $(BIN) --evacuations --seeds $(SOAK_SEEDS) --first-seed $(SOAK_FIRST) --parallel $(SOAK_PARALLEL)

soak-fresh: ## the same with new seeds, starting at the current Unix time
	@$(MAKE) soak SOAK_FIRST=$$(date +%s)

soak-budget: ## the same while all servers refuse all requests, for longer than the window of the retry budget
	@$(GO) build -o $(BIN)/ ./cmd/sesame-gateway ./cmd/sesame-soak
	@$(BIN)/sesame-soak --bin $(BIN) --refuse --extra 400 --gateways 4 --duration 25s --faults 14 --seeds $(SOAK_SEEDS) --first-seed $(SOAK_FIRST) --parallel $(SOAK_PARALLEL)
