#pragma once

/// Public header of the configuration library: document and validation, root and sections, intents, and plans.

#include "configuration/confirm.h"
#include "configuration/document.h"
#include "configuration/plan.h"
#include "configuration/plan_machine.h"
#include "configuration/plan_store.h"
#include "configuration/root.h"
