# Real gateways under seeded failures.

SOAK_SEEDS ?= 50
SOAK_FIRST ?= 1
SOAK_PARALLEL ?= 4

.PHONY: soak soak-fresh

soak: ## run SOAK_SEEDS seeds of real gateways under failures and judge them
	@$(GO) build -o $(BIN)/ ./cmd/sesame-gateway ./cmd/sesame-soak
	@$(BIN)/sesame-soak --bin $(BIN) --seeds $(SOAK_SEEDS) --first-seed $(SOAK_FIRST) --parallel $(SOAK_PARALLEL)

soak-fresh: ## the same with seeds that nobody ran before
	@$(MAKE) soak SOAK_FIRST=$$(date +%s)
