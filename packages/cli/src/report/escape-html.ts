const replacements = new Map([['&', '&amp;'], ['<', '&lt;'], ['>', '&gt;'], ['"', '&quot;'], ['\'', '&#39;']]);

/** Escapes a text for the content of an element and for a quoted attribute. */
export const encodeHtml = (text: string): string => text.replaceAll(/[&<>"']/gv, character => replacements.get(character)!);
