/* Stand-in for how the platform fills in a settings template: placeholders in
   double braces, sections and inverted sections.  */

#ifndef TESTS_SUPPORT_TEMPLATE_RENDER_H
#define TESTS_SUPPORT_TEMPLATE_RENDER_H

#include <string>

/* Fills in TEMPLATE from FIELDS, a JSON object.  Throws std::runtime_error for
   a template that does not end its sections.  */
std::string render_template (const std::string &text,
                             const std::string &fields);

#endif
