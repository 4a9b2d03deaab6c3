#pragma once

/// Public header of the configuration library: the document, its validation, root and sections, intents and plans.

#include "configuration/document.h"
#include "configuration/plan.h"
#include "configuration/root.h"
